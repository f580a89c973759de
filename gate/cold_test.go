package gate

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"geraniumpass/core"
	"geraniumpass/plan"
	"geraniumpass/quota"
	"geraniumpass/view"
)

// coldFleet is a number of entries that all want to send to one instance, as they do when a failure
// domain comes back empty from an evacuation.
type coldFleet struct {
	clock   *clockwork.FakeClock
	limits  []*coldLimits
	names   []string
	members map[string]string
	cache   *view.Cache
	in      core.Instance
	cold    core.Cold
	random  *rand.Rand
	sent    []time.Time
}

func newColdFleet(entries int, cold core.Cold) *coldFleet {
	f := &coldFleet{
		clock:   clockwork.NewFakeClock(),
		members: make(map[string]string),
		in:      core.Instance{ID: "i", Service: "s", Domain: "a", ColdFor: cold.Duration},
		cold:    cold,
		random:  rand.New(rand.NewPCG(1, uint64(entries))),
	}
	f.cache = view.NewCache("front-0", f.clock, hclog.NewNullLogger())
	table := (&plan.Table{Version: 1, Services: []plan.Service{{Name: "s", Cold: cold}}}).Compile()
	f.cache.Apply(view.Change{Rev: 1, Full: true, Table: table, Put: []core.Instance{f.in}})
	for i := range entries {
		f.names = append(f.names, fmt.Sprint("front-", i))
		f.members[f.names[i]] = ""
		f.limits = append(f.limits, f.newLimits(i))
	}
	return f
}

func (f *coldFleet) newLimits(i int) *coldLimits {
	return &coldLimits{
		allowance: ColdAllowance{
			Overage: 1.5,
			Slack:   5,
		},
		quotas: quota.New(f.names[i], f.clock, hclog.NewNullLogger()),
	}
}

// run has every entry try to send at each tick; one entry restarts each second.
func (f *coldFleet) run(lasts time.Duration) {
	const tick = 10 * time.Millisecond
	fleet := quota.Fleet{Rev: 1, Members: f.members}
	for n := range int(lasts / tick) {
		if n%int(time.Second/tick) == 0 {
			i := f.random.IntN(len(f.names))
			f.limits[i] = f.newLimits(i)
		}
		for _, i := range f.random.Perm(len(f.limits)) {
			f.limits[i].update(f.cache.Now(), f.in, f.cold, f.clock.Now())
			if _, ok := f.limits[i].quotas.Acquire(f.in.Start(), fleet); ok {
				f.sent = append(f.sent, f.clock.Now())
			}
		}
		f.clock.Advance(tick)
	}
}

// mostWithin returns the highest number of requests sent within any window before until.
func (f *coldFleet) mostWithin(window time.Duration, until time.Time) int {
	most, first := 0, 0
	for last, at := range f.sent {
		if !at.Before(until) {
			break
		}
		for at.Sub(f.sent[first]) >= window {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// TestColdInstanceIsNotFlooded guards against a restarted instance that crashes because every entry
// takes it for the least loaded one. The bound covers all entries together, whatever their number,
// and restarting entries add at most their own tokens. Once the instance is warm, the limit ends.
func TestColdInstanceIsNotFlooded(t *testing.T) {
	tests := []struct {
		entries int
		rate    float64
	}{
		{9, 17},
		{39, 17},
		{39, 2},
		{432, 17},
		{864, 17},
		{864, 100},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprintf("%d entries, %.0f a second", tt.entries, tt.rate), func(t *testing.T) {
			cold := core.Cold{Duration: 3 * time.Second, Rate: tt.rate}
			f := newColdFleet(tt.entries, cold)
			warm := f.clock.Now().Add(cold.Duration)
			f.run(cold.Duration)
			bound := int(1.5*tt.rate + 5)
			most := f.mostWithin(time.Second, warm)
			if most > bound {
				t.Errorf("%d requests within a second while cold, allowed %d", most, bound)
			}
			if sent := len(f.sent); float64(sent) < 0.9*tt.rate {
				t.Errorf("%d requests in %v, at least %.0f were possible", sent, cold.Duration, 0.9*tt.rate)
			}
			cooled := len(f.sent)
			f.run(100 * time.Millisecond)
			if got := len(f.sent) - cooled; got < tt.entries {
				t.Errorf("%d requests by %d entries within 100 ms once the instance is warm", got, tt.entries)
			}
		})
	}
}
