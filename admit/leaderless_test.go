package admit

import (
	"testing"
	"time"
)

// Load: three times what 32 ranks finish, with returns of the refused, when their group loses its leader
// for 20 s, in full use or after a stall that filled its queues and from which it formed anew. Its last
// load is all that entries know. By it they would refuse nearly all callers for as long, though the ranks
// run nothing; the ranks are to finish over half of what they can, and not to get more than that.
func TestLastLoadOfALostLeaderIsNotActedOnForLong(t *testing.T) {
	tests := []struct {
		name    string
		entries int
		stalled bool
	}{
		{name: "full, few entries", entries: 9},
		{name: "full, many entries", entries: 99},
		{name: "stalled, few entries", entries: 9, stalled: true},
		{name: "stalled, many entries", entries: 99, stalled: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := &streams{
				ranks:  32,
				stepMs: evenStep(1),
				events: 23,
			}
			f := newFleet(tt.entries, g)
			capacity := 320 / (23 * evenStep(1)(10) / 1000)
			f.run(8*time.Second, 3*capacity, func() {})
			last := g.status("a")
			if tt.stalled {
				g.left, g.queue = nil, 0
				last.Usable = false
				last.Waiting = 400
				f.tell(last)
				last.Usable = true
			}
			f.runWith(&last, 10*time.Second, 3*capacity)
			before := f.offered - f.refused
			f.runWith(&last, 10*time.Second, 3*capacity)
			used := float64(f.offered-f.refused-before) / 10 / capacity
			t.Logf("%.2f of what the ranks finish is admitted", used)
			if used < 0.55 || used > 1.1 {
				t.Errorf("%.2f of what the ranks finish is admitted", used)
			}
		})
	}
}

// tell gives all entries a status that is newer than all others.
func (f *fleet) tell(status Group) {
	f.now = f.now.Add(testStatusAge)
	for _, s := range f.entries {
		s.Observe(f.now, f.engine, []Group{status})
	}
}

// runWith offers requests while the entries know only the given status, which grows older.
func (f *fleet) runWith(status *Group, duration time.Duration, perSecond float64) {
	for range int(duration / tick) {
		f.now = f.now.Add(tick)
		f.ticks++
		status.Age += tick
		statuses := []Group{*status}
		for n := f.arrivals(perSecond); n > 0; n-- {
			f.request(statuses, false)
		}
		for n := f.returning[f.ticks]; n > 0; n-- {
			f.request(statuses, true)
		}
		delete(f.returning, f.ticks)
		f.groups[0].advance(f.random)
	}
}
