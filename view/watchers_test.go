package view

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
)

func memberNames(n int) map[string]string {
	members := make(map[string]string, n)
	for i := range n {
		members[fmt.Sprintf("front-%03d", i)] = "address"
	}
	return members
}

// calmLoad is what the entries do while nothing changes.
type calmLoad struct {
	// calls is how many calls a second all entries make to the store.
	calls float64
	// pollers is the highest mean number of polls under way at the entries of one kind.
	pollers float64
}

func calmLoadOf(entries int) calmLoad {
	const pollsEach = 3
	members := memberNames(entries)
	var l calmLoad
	watching, relaying := 0, 0
	for name := range members {
		v := NewCache(name, clockwork.NewFakeClock(), hclog.NewNullLogger())
		v.Apply(Change{Rev: 1, Full: true, Members: members})
		if v.role().watches {
			watching++
			l.calls += 1 / v.watchTimeout().Seconds()
		}
		if slices.Equal(v.Informants(), v.Watchers()) {
			relaying++
		}
	}
	l.pollers = max(pollsEach*float64(relaying)/float64(watching), pollsEach*float64(entries)/float64(relaying))
	return l
}

// TestCallsInCalmDoNotGrowWithTheFleet guards against a store that is asked by every entry, so that
// its calls grow with the fleet though nothing changes, and against entries that answer polls of the
// whole fleet. The calls must not grow, the polls at one entry with the square root of the number of
// entries at most.
func TestCallsInCalmDoNotGrowWithTheFleet(t *testing.T) {
	const root = 1.5 // of doubling, with a margin for rounding
	for _, entries := range []int{42, 99, 216, 432, 864} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			once, twice := calmLoadOf(entries), calmLoadOf(2*entries)
			if twice.calls > once.calls {
				t.Errorf("%.1f calls a second at %d entries, %.1f at twice as many", once.calls, entries, twice.calls)
			}
			if twice.pollers > root*once.pollers {
				t.Errorf("%.0f polls at an entry of %d, %.0f of twice as many", once.pollers, entries, twice.pollers)
			}
		})
	}
}

// TestEveryEntryWatchesASmallFleet checks that few entries don't depend on each other.
func TestEveryEntryWatchesASmallFleet(t *testing.T) {
	members := memberNames(allWatch)
	for name := range members {
		v := NewCache(name, clockwork.NewFakeClock(), hclog.NewNullLogger())
		v.Apply(Change{Rev: 1, Full: true, Members: members})
		if !v.role().watches {
			t.Errorf("%s doesn't watch", name)
		}
	}
}

// TestUnreachableWatchersAreReplaced guards against a fleet whose watchers have been removed for
// good: an entry that finds them unreachable takes their place when it is next in rank.
func TestUnreachableWatchersAreReplaced(t *testing.T) {
	members := memberNames(99)
	ranking := rankMembers(members)
	next := ranking[watcherCount(99)]
	clock := clockwork.NewFakeClock()
	v := NewCache(next, clock, hclog.NewNullLogger())
	v.Apply(Change{Rev: 1, Full: true, Members: members})
	if v.role().watches || slices.Contains(v.Watchers(), next) {
		t.Fatal("the entry after the last watcher watches")
	}
	v.MarkUnreachable(ranking[3])
	if !v.role().watches || slices.Contains(v.Watchers(), ranking[3]) {
		t.Error("the entry doesn't watch in place of one that is unreachable")
	}
	clock.Advance(unreachableTTL)
	if v.role().watches {
		t.Error("the entry still watches when the other may be back")
	}
}

// follower returns an entry that doesn't watch, after its first read from src.
func follower(t *testing.T, src *silentSource, bound time.Duration) *Cache {
	t.Helper()
	members := memberNames(99)
	ranking := rankMembers(members)
	v := NewCache(ranking[len(ranking)-1], clockwork.NewRealClock(), hclog.NewNullLogger())
	v.SetBound(bound)
	src.members = members
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go v.Run(ctx, src)
	waitFor(t, "the first read", func() bool { return len(v.Now().Members) > 0 })
	return v
}

// TestUnconfirmedEntryCallsTheStore guards against an entry that misses changes because the watchers
// it polls have failed without a word: it must call the store itself well within the bound.
func TestUnconfirmedEntryCallsTheStore(t *testing.T) {
	const bound = time.Second
	src := &silentSource{}
	v := follower(t, src, bound)
	read := time.Now()
	waitFor(t, "a call to the store", func() bool { return len(src.watches()) > 0 })
	if took := time.Since(read); took > bound {
		t.Errorf("unconfirmed for %v before the store was called, the bound is %v", took, bound)
	}
	if v.role().watches {
		t.Error("the entry counts as a watcher")
	}
}

// TestConfirmedEntryLeavesTheStoreAlone checks that an entry makes no calls while others confirm its
// state, and that only a confirmation of what it knows counts.
func TestConfirmedEntryLeavesTheStoreAlone(t *testing.T) {
	const bound = 500 * time.Millisecond
	src := &silentSource{}
	v := follower(t, src, bound)
	rev, table := v.Now().Rev, v.Now().Table.Version
	for began := time.Now(); time.Since(began) < 3*bound; <-time.After(10 * time.Millisecond) {
		v.Confirm(rev, table, time.Now())
	}
	if n := len(src.watches()); n > 0 {
		t.Fatalf("%d calls while the state was confirmed", n)
	}
	for began := time.Now(); time.Since(began) < bound; <-time.After(10 * time.Millisecond) {
		v.Confirm(rev+1, table, time.Now())
		v.Confirm(rev, table+1, time.Now())
	}
	if len(src.watches()) == 0 {
		t.Error("no call though only newer states than its own were confirmed")
	}
}
