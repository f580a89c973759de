package admit

import (
	"fmt"
	"testing"
	"time"
)

// outcome counts the requests of one kind that have come to an end.
type outcome struct {
	ended, admitted, timely float64
}

// flood is a fleet whose requests are of several kinds.
type flood struct {
	*fleet
	// next returns the next request, name the kind that a request is counted as.
	next func() Demand
	name func(Demand) string
	back map[int][]Demand
	ends map[string]*outcome
}

// newFlood returns a fleet before two groups that finish about 230 requests a second.
func newFlood(entries int, shedder func(func() float64) *Shedder) *flood {
	f := &flood{
		fleet: newFleet(entries,
			&streams{ranks: 32, stepMs: evenStep(2), events: 23},
			&streams{ranks: 32, stepMs: evenStep(2), events: 23},
		),
		back: make(map[int][]Demand),
		ends: make(map[string]*outcome),
	}
	for i := range f.entries {
		f.entries[i] = shedder(f.random.Float64)
	}
	return f
}

// offer offers requests at the given rate; a refused one comes back once.
func (f *flood) offer(duration time.Duration, perSecond float64) {
	f.run(duration, 0, func() {
		statuses := make([]Group, len(f.groups))
		for i, g := range f.groups {
			statuses[i] = g.status(string(rune('a' + i)))
		}
		for n := f.arrivals(perSecond); n > 0; n-- {
			f.decide(statuses, f.next())
		}
		for _, d := range f.back[f.ticks] {
			f.decide(statuses, d)
		}
		delete(f.back, f.ticks)
	})
}

func (f *flood) decide(statuses []Group, d Demand) {
	decision := f.entries[f.random.IntN(len(f.entries))].Decide(f.now, f.engine, statuses, d)
	if !decision.Admit && !d.Returned {
		d.Returned = true
		at := f.ticks + 1 + int(decision.RetryAfter/tick)
		f.back[at] = append(f.back[at], d)
		return
	}
	o := f.ends[f.name(d)]
	if o == nil {
		o = &outcome{}
		f.ends[f.name(d)] = o
	}
	o.ended++
	if !decision.Admit {
		return
	}
	o.admitted++
	g := f.pick()
	if g.step <= d.Gap && g.wait() <= d.Aim {
		o.timely++
	}
	g.queue++
}

// wait returns how long a new request waits for its slot.
func (g *streams) wait() time.Duration {
	return time.Duration(float64(g.queue) / float64(g.ranks*10) * g.events * float64(g.step))
}

// usualRate is a rate of requests that the groups finish with steps in time.
const usualRate = 200.0

// equalAccounts lets all accounts ask for the same.
func (f *flood) equalAccounts() Demand {
	return demand(0, string(rune('A'+f.random.IntN(24))))
}

// lossToLargeAccount gives one account of 24 ten times its traffic for 20 s, more than the groups finish, and
// returns how much the others lose, refused twice or late.
func lossToLargeAccount(t *testing.T, f *flood) float64 {
	f.next = f.equalAccounts
	f.name = func(d Demand) string {
		if d.Account == "A" {
			return "large"
		}
		return "other"
	}
	f.offer(20*time.Second, usualRate)
	clear(f.ends)
	f.next = func() Demand {
		return demand(0, string(rune('A'+max(f.random.IntN(33)-9, 0))))
	}
	f.offer(20*time.Second, usualRate/24*33)
	other, large := f.ends["other"], f.ends["large"]
	t.Logf("others: lost %.3f, refused %.3f; the large one: admitted %.3f", 1-other.timely/other.ended,
		1-other.admitted/other.ended, large.admitted/large.ended)
	return 1 - other.timely/other.ended
}

// Load: one account of 24 has ten times its traffic while room is short. The others lose less than 0.02, for 9 to
// 432 entries: an entry that sees little of the large account must not make the others pay for it.
func TestOtherAccountsLoseNothingToALargeOne(t *testing.T) {
	for _, entries := range []int{9, 41, 99, 432} {
		t.Run(fmt.Sprintf("%d entries", entries), func(t *testing.T) {
			if lost := lossToLargeAccount(t, newFlood(entries, NewRanked)); lost >= 0.02 {
				t.Errorf("other accounts lost %.3f", lost)
			}
		})
	}
}

// Load: the same, where requests of all ranks are refused.
func TestOtherAccountsLoseNothingWhereAllAreRefused(t *testing.T) {
	for _, entries := range []int{9, 41, 99, 432} {
		t.Run(fmt.Sprintf("%d entries", entries), func(t *testing.T) {
			if lost := lossToLargeAccount(t, newFlood(entries, New)); lost >= 0.02 {
				t.Errorf("other accounts lost %.3f", lost)
			}
		})
	}
}

// Load: all accounts ask for the same, more than the groups finish. None of them is to blame, so that they lose
// less than 0.02 by refusals that are for the sake of others.
func TestEqualAccountsAreNotRefusedForEachOther(t *testing.T) {
	for _, entries := range []int{9, 41, 99, 432} {
		f := newFlood(entries, NewRanked)
		f.name = func(Demand) string { return "" }
		f.next = f.equalAccounts
		f.offer(10*time.Second, usualRate)
		clear(f.ends)
		f.offer(20*time.Second, usualRate/24*33)
		refused := 1 - f.ends[""].admitted/f.ends[""].ended
		t.Logf("%d entries refused %.3f", entries, refused)
		if refused >= 0.02 {
			t.Errorf("%d entries refused %.3f", entries, refused)
		}
	}
}
