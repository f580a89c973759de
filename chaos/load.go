package chaos

import (
	"fmt"
	"time"

	"geraniumpass/caller"
	"geraniumpass/core"
)

const (
	callTimeout = 8 * time.Second
	shortAnswer = 20
	longAnswer  = 150
)

// sendRequests sends requests of every kind until the run ends. Each request with an idempotency
// key is sent twice, through two entries.
func (r *run) sendRequests(sender int) {
	model, plain := r.services()
	keys := make([]string, 0, len(r.d.Plan.Keys))
	for _, k := range r.d.Plan.Keys {
		keys = append(keys, k)
	}
	for n := 0; ; n++ {
		select {
		case <-r.stop:
			return
		default:
		}
		c := &caller.Caller{
			Key:     keys[sender%len(keys)],
			Timeout: callTimeout,
		}
		probe := fmt.Sprintf("soak-%d-%d", sender, n)
		c.Entry = r.entryAddress(sender + n)
		switch n % 5 {
		case 0:
			c.Label = "lookup"
			r.record(probe, false, c.Completion(model, probe, shortAnswer, false, probe))
		case 1:
			r.record(probe, false, c.Completion(model, probe, longAnswer, true, probe))
		case 2:
			r.record(probe, false, c.Plain("GET", plain, "/status?ms=5", nil, probe, ""))
		case 3:
			r.record(probe, true, c.Plain("POST", plain, "/book?ms=30", []byte(probe), probe, ""))
		case 4:
			r.record(probe, true, c.Plain("POST", plain, "/book?ms=30", []byte(probe), probe, probe))
			c.Entry = r.entryAddress(sender + n + 1)
			r.record(probe, true, c.Plain("POST", plain, "/book?ms=30", []byte(probe), probe, probe))
		}
	}
}

func (r *run) entryAddress(n int) string {
	return r.d.Entries[n%len(r.d.Entries)].Listen
}

func (r *run) services() (model, plain string) {
	for _, s := range r.d.Plan.Services {
		if s.Kind == core.KindModel {
			model = s.Name
		} else {
			plain = s.Name
		}
	}
	return model, plain
}

func (r *run) record(probe string, atMostOnce bool, res caller.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results[probe] = append(r.results[probe], res.Verdict)
	r.atMostOnce[probe] = atMostOnce
	r.counts[res.Verdict]++
	if res.Verdict == caller.Wrong {
		r.findings = append(r.findings, probe+": "+res.Detail)
	}
}
