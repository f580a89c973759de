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

// TestUnheardInstanceIsNoEmptier has an instance with a long queue say nothing for a while, since what waits there is not begun: it must not
// look emptier than those that have just told their load.
func TestUnheardInstanceIsNoEmptier(t *testing.T) {
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
			l := newLoads()
			l.report(starts[0], 10, 4, now.Add(-tt.age))
			for _, s := range starts[1:4] {
				l.report(s, 7, 0, now)
			}
			b := l.beliefs(starts, now)
			if b[0].load <= b[1].load {
				t.Errorf("the crowded one is believed to have %.1f, the others %.1f", b[0].load, b[1].load)
			}
			if b[4].load < 7 || b[4].load > 11 {
				t.Errorf("one that was never heard of is believed to have %.1f, where others have 7 to 14", b[4].load)
			}
		})
	}
}

// crowd is a pool of instances before entries that each see only their own answers.
type crowd struct {
	random  *rand.Rand
	entries []*loads
	starts  []core.Start
	running []int
	slots   int
}

func newCrowd(seed uint64, entries, instances, slots int) *crowd {
	c := &crowd{
		random:  rand.New(rand.NewPCG(seed, seed)),
		running: make([]int, instances),
		slots:   slots,
	}
	for range entries {
		c.entries = append(c.entries, newLoads())
	}
	for i := range instances {
		c.starts = append(c.starts, core.Start{ID: fmt.Sprint("i-", i)})
	}
	return c
}

// choose has an entry choose an instance as the gate does.
func (c *crowd) choose(entry int, now time.Time) int {
	seen := lo.Map(c.entries[entry].beliefs(c.starts, now), func(b belief, _ int) route.InstanceView {
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

// TestManyEntriesSpreadTheirRequests plays 41 entries before 63 engines of ten places, seven tenths of them taken, with some six requests a second
// an entry, each of which hears of an engine once in ten seconds.
func TestManyEntriesSpreadTheirRequests(t *testing.T) {
	const (
		entries = 41
		engines = 63
		slots   = 10
		rate    = 240.0
		stays   = 1.85
		seconds = 30
		// begins is how long after it was sent an answer begins and tells the load.
		begins = 160 * time.Millisecond
		// most is the part of the requests that may find no free place while three in ten are free.
		most = 0.1
	)
	type event struct {
		at     time.Time
		entry  int
		engine int
		ends   bool
	}
	c := newCrowd(1, entries, engines, slots)
	now := time.Unix(1_000, 0)
	end := now.Add(seconds * time.Second)
	var events []event
	asked, full := 0, 0
	for now.Before(end) {
		now = now.Add(time.Duration(c.random.ExpFloat64() / rate * float64(time.Second)))
		rest := events[:0]
		for _, e := range events {
			if e.at.After(now) {
				rest = append(rest, e)
				continue
			}
			if e.ends {
				c.running[e.engine]--
				c.entries[e.entry].end(c.starts[e.engine])
				continue
			}
			c.entries[e.entry].report(c.starts[e.engine], min(slots, c.running[e.engine]), max(0, c.running[e.engine]-slots), e.at)
		}
		events = rest
		entry := c.random.IntN(entries)
		engine := c.choose(entry, now)
		asked++
		if c.running[engine] >= slots {
			full++
		}
		c.running[engine]++
		c.entries[entry].begin(c.starts[engine])
		lasts := time.Duration(stays * (0.3 + 0.7*c.random.ExpFloat64()) * float64(time.Second))
		events = append(events,
			event{at: now.Add(begins), entry: entry, engine: engine},
			event{at: now.Add(begins + lasts), entry: entry, engine: engine, ends: true})
	}
	part := float64(full) / float64(asked)
	t.Logf("%.3f of %d requests found no free place", part, asked)
	if part > most {
		t.Errorf("%.3f of the requests found no free place, want %.2f at most", part, most)
	}
}
