package gate

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/samber/lo"

	"geraniumpass/core"
	"geraniumpass/route"
)

// TestStaleLoadReportIsNotLowLoad guards against preferring an instance with a long queue: requests
// in the queue are not answered, so its load report becomes stale.
func TestStaleLoadReportIsNotLowLoad(t *testing.T) {
	now := time.Unix(1_000, 0)
	starts := []core.Start{{ID: "crowded"}, {ID: "a"}, {ID: "b"}, {ID: "c"}, {ID: "unknown"}}
	tests := []struct {
		name string
		age  time.Duration
	}{
		{"just heard", 0},
		{"a second ago", time.Second},
		{"four seconds ago", 4 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := newLoadTracker()
			l.recordReport(starts[0], 10, 4, now.Add(-tt.age))
			for _, s := range starts[1:4] {
				l.recordReport(s, 7, 0, now)
			}
			b := l.estimates(starts, now)
			if b[0].load <= b[1].load {
				t.Errorf("load estimate of the crowded instance is %.1f, that of the others %.1f", b[0].load, b[1].load)
			}
			if b[4].load < 7 || b[4].load > 11 {
				t.Errorf("load estimate of an instance without a report is %.1f, where others have 7 to 14", b[4].load)
			}
		})
	}
}

// simulation models entries in front of shared instances. Each entry sees only its own answers.
type simulation struct {
	random  *rand.Rand
	entries []*loadTracker
	starts  []core.Start
	running []int
	slots   int
}

func newSimulation(seed uint64, entries, instances, slots int) *simulation {
	c := &simulation{
		random:  rand.New(rand.NewPCG(seed, seed)),
		running: make([]int, instances),
		slots:   slots,
	}
	for range entries {
		c.entries = append(c.entries, newLoadTracker())
	}
	for i := range instances {
		c.starts = append(c.starts, core.Start{ID: fmt.Sprint("i-", i)})
	}
	return c
}

// pick selects an instance for an entry in the same way as the gate.
func (c *simulation) pick(entry int, now time.Time) int {
	seen := lo.Map(c.entries[entry].estimates(c.starts, now), func(b estimate, _ int) route.InstanceView {
		return route.InstanceView{
			Domain:      "a",
			Load:        b.load,
			Slots:       c.slots,
			Preferred:   true,
			HasIdleConn: true,
		}
	})
	return route.LeastLoaded(seen, "a", c.random)
}

// TestManyEntriesSpreadLoad guards against uneven load when each entry rarely gets a load report of
// an instance: 41 entries send about six requests a second each to 63 engines of ten slots at 70%
// load, so that an entry gets a report of an engine once in ten seconds.
func TestManyEntriesSpreadLoad(t *testing.T) {
	const (
		entries     = 41
		engines     = 63
		slots       = 10
		rate        = 240.0
		meanSeconds = 1.85
		seconds     = 30
		// firstByteDelay is the delay from sending a request to the answer that reports the load.
		firstByteDelay = 160 * time.Millisecond
		// maxShare is the largest accepted fraction of requests that find no free slot while 30% are
		// free.
		maxShare = 0.1
	)
	type event struct {
		at     time.Time
		entry  int
		engine int
		ends   bool
	}
	c := newSimulation(1, entries, engines, slots)
	now := time.Unix(1_000, 0)
	end := now.Add(seconds * time.Second)
	var events []event
	total, full := 0, 0
	for now.Before(end) {
		now = now.Add(time.Duration(c.random.ExpFloat64() / rate * float64(time.Second)))
		remaining := events[:0]
		for _, e := range events {
			if e.at.After(now) {
				remaining = append(remaining, e)
				continue
			}
			if e.ends {
				c.running[e.engine]--
				c.entries[e.entry].end(c.starts[e.engine])
				continue
			}
			c.entries[e.entry].recordReport(c.starts[e.engine], min(slots, c.running[e.engine]), max(0, c.running[e.engine]-slots), e.at)
		}
		events = remaining
		entry := c.random.IntN(entries)
		engine := c.pick(entry, now)
		total++
		if c.running[engine] >= slots {
			full++
		}
		c.running[engine]++
		c.entries[entry].begin(c.starts[engine])
		duration := time.Duration(meanSeconds * (0.3 + 0.7*c.random.ExpFloat64()) * float64(time.Second))
		events = append(events,
			event{at: now.Add(firstByteDelay), entry: entry, engine: engine},
			event{at: now.Add(firstByteDelay + duration), entry: entry, engine: engine, ends: true})
	}
	share := float64(full) / float64(total)
	t.Logf("%.3f of %d requests found no free slot", share, total)
	if share > maxShare {
		t.Errorf("%.3f of the requests found no free slot, want at most %.2f", share, maxShare)
	}
}
