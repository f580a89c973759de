package view

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"geraniumpass/store"
)

// silentSource is a store whose watches hang until they are canceled.
type silentSource struct {
	mu    sync.Mutex
	waits []time.Duration
	loads int
	fail  error
	// members are listed by every read.
	members map[string]string
}

func (s *silentSource) Load(context.Context) (Change, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loads++
	return Change{Rev: int64(10 * s.loads), Full: true, Table: table(int64(s.loads)), Members: s.members}, nil
}

func (s *silentSource) Follow(ctx context.Context, _ int64, wait time.Duration) (Change, error) {
	s.mu.Lock()
	s.waits = append(s.waits, wait)
	fail := s.fail
	s.fail = nil
	s.mu.Unlock()
	if fail != nil {
		return Change{}, fail
	}
	<-ctx.Done()
	return Change{}, ctx.Err()
}

func (s *silentSource) watches() []time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]time.Duration(nil), s.waits...)
}

// TestWatchTimeoutsAreStaggered guards against watches that fail silently at once and delay a
// change for all entries beyond its limit.
func TestWatchTimeoutsAreStaggered(t *testing.T) {
	for _, n := range []int{1, 9, 39, 340} {
		members := make(map[string]string, n)
		for i := range n {
			members[fmt.Sprintf("front-%03d", i)] = "address"
		}
		for rev := int64(1); rev < 50; rev++ {
			soonest, sum := time.Hour, 0.0
			for name := range members {
				v := NewCache(name, clockwork.NewFakeClock(), hclog.NewNullLogger())
				v.Apply(Change{Rev: rev, Full: true, Members: members})
				w := v.watchTimeout()
				soonest = min(soonest, w)
				sum += 1 / w.Seconds()
			}
			if soonest > time.Second {
				t.Fatalf("%d entries at revision %d: the first watch is renewed after %s", n, rev, soonest)
			}
			if sum > float64(n)*1.5 {
				t.Fatalf("%d entries make %.0f calls per second", n, sum)
			}
			if n == 340 {
				break
			}
		}
	}
}

// TestWatchDelaysAreStaggered guards against overloading the store when instances start one after
// the other, several per second, and each change wakes every watch. The calls must grow more slowly
// than the number of entries, the first entry must watch again as early as a single one would, and
// no entry may wait longer than half of the 2 s within which departures must be known everywhere.
func TestWatchDelaysAreStaggered(t *testing.T) {
	tests := []struct {
		entries int
		// calls is the maximum number of calls per second while changes arrive.
		calls float64
	}{
		{1, 7},
		{9, 60},
		{42, 150},
		{99, 220},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprint(tt.entries), func(t *testing.T) {
			members := make(map[string]string, tt.entries)
			for i := range tt.entries {
				members[fmt.Sprintf("front-%03d", i)] = "address"
			}
			soonest, longest, calls := time.Hour, time.Duration(0), 0.0
			for name := range members {
				v := NewCache(name, clockwork.NewFakeClock(), hclog.NewNullLogger())
				v.Apply(Change{Rev: 7, Full: true, Members: members})
				w := v.watchDelay()
				soonest, longest = min(soonest, w), max(longest, w)
				calls += 1 / w.Seconds()
			}
			if soonest != baseWatchDelay {
				t.Errorf("the first entry watches again after %s, want %s", soonest, baseWatchDelay)
			}
			if longest > baseWatchDelay+time.Second {
				t.Errorf("the last entry watches again after %s", longest)
			}
			if calls > tt.calls {
				t.Errorf("%.0f calls per second, want at most %.0f", calls, tt.calls)
			}
		})
	}
}

// TestPeerSnapshotReplacesStaleWatch guards against waiting for a hung watch when a peer has
// already provided a newer revision.
func TestPeerSnapshotReplacesStaleWatch(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	v := newCache(clockwork.NewRealClock())
	src := &silentSource{}
	go v.Run(ctx, src)
	waitFor(t, "the first watch", func() bool { return len(src.watches()) == 1 })
	if !v.Adopt(&Snapshot{Rev: 99, Table: table(7)}) {
		t.Fatal("a peer's newer snapshot was not adopted")
	}
	waitFor(t, "a new watch", func() bool { return len(src.watches()) == 2 })
	if v.Now().Rev != 99 || v.Now().Table.Version != 7 {
		t.Errorf("at revision %d, table %d", v.Now().Rev, v.Now().Table.Version)
	}
}

func TestCompactedHistoryForcesFullRead(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	v := newCache(clockwork.NewRealClock())
	src := &silentSource{fail: &store.CompactedError{After: 10}}
	go v.Run(ctx, src)
	waitFor(t, "the second full read", func() bool { return v.Now().Table != nil && v.Now().Table.Version == 2 })
	if errors.Is(ctx.Err(), context.Canceled) {
		t.Fatal("context canceled early")
	}
}

// TestTooLargeChangesAreReplacedByTheFullState guards against an entry that repeats a call whose answer is too
// large to be read, and serves with an old table until the store drops its history.
func TestTooLargeChangesAreReplacedByTheFullState(t *testing.T) {
	src := &silentSource{fail: &store.DownError{Cause: &store.TooLargeError{Call: "watch", Limit: 1}}}
	v := NewCache("front-1", clockwork.NewRealClock(), hclog.NewNullLogger())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go v.Run(ctx, src)
	for start := time.Now(); v.Now().Rev < 20; time.Sleep(time.Millisecond) {
		if time.Since(start) > 3*time.Second {
			t.Fatalf("revision %d after %d watches and %d full reads", v.Now().Rev, len(src.watches()), src.loads)
		}
	}
	if n := len(src.watches()); n > 2 {
		t.Errorf("%d watches, want one before and one after the full read", n)
	}
}
