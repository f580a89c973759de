package group

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"geraniumpass/core"
	"geraniumpass/store"
)

// fakeStore is a store with a single key.
type fakeStore struct {
	store.Store

	mu     sync.Mutex
	value  store.Value
	writes int
	// down makes writes fail; lost makes the next write take effect without an answer.
	down bool
	lost bool
}

func (s *fakeStore) Get(context.Context, string) (store.Value, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.value, nil
}

func (s *fakeStore) Swap(_ context.Context, key string, data []byte, modified int64, _ store.Lease) (store.Value, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return store.Value{}, &store.DownError{Cause: errors.New("down")}
	}
	if modified != s.value.Modified {
		return store.Value{}, &store.ConflictError{Key: key, Current: s.value}
	}
	s.writes++
	s.value = store.Value{Data: data, Modified: s.value.Modified + 1}
	if s.lost {
		s.lost = false
		return store.Value{}, &store.UnknownOutcomeError{Cause: errors.New("no answer")}
	}
	return s.value, nil
}

func (s *fakeStore) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// slow returns the ids stored under the key, in order.
func (s *fakeStore) slow(t *testing.T) []string {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.value.Modified == 0 {
		return nil
	}
	var list []core.Pace
	if err := json.Unmarshal(s.value.Data, &list); err != nil {
		t.Fatal(err)
	}
	var ids []string
	for _, p := range list {
		ids = append(ids, p.Start.ID)
	}
	return ids
}

func (s *fakeStore) await(t *testing.T, want ...string) {
	t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for {
		got := s.slow(t)
		same := len(got) == len(want)
		for i := range got {
			same = same && got[i] == want[i]
		}
		if same {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("slow ranks in the store: %v, want %v", got, want)
		}
		<-time.After(time.Millisecond)
	}
}

func ranksAt(paces ...float64) []core.Pace {
	var out []core.Pace
	for i, p := range paces {
		out = append(out, core.Pace{Start: core.Start{ID: string(rune('a' + i))}, Pace: p})
	}
	return out
}

// TestSlowRanksAreStored lets ranks become slow and recover while writes are lost or refused, or a
// list of an earlier leader is left in the store.
func TestSlowRanksAreStored(t *testing.T) {
	tests := []struct {
		name string
		left string
		harm func(s *fakeStore)
	}{
		{"nothing goes wrong", "", func(*fakeStore) {}},
		{"an earlier leader has left others", `[{"start":{"id":"z"},"pace":2}]`, func(*fakeStore) {}},
		{"the store is down for a while", "", func(s *fakeStore) {
			s.set(func() { s.down = true })
			time.AfterFunc(200*time.Millisecond, func() { s.set(func() { s.down = false }) })
		}},
		{"an answer is lost", "", func(s *fakeStore) { s.set(func() { s.lost = true }) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := &fakeStore{}
			if tt.left != "" {
				s.value = store.Value{Data: []byte(tt.left), Modified: 7}
			}
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			r := newSlowRankWriter(s, "k", hclog.NewNullLogger())
			go r.run(ctx)
			s.await(t)
			tt.harm(s)
			r.update(ranksAt(1, 2, 1))
			s.await(t, "b")
			r.update(ranksAt(1.3, 2, 1))
			s.await(t, "a", "b")
			r.update(ranksAt(1, 1, 1))
			s.await(t)
		})
	}
}

// TestSlowRanksOutliveARestoredStore guards against entries that send a slow rank its usual share of work,
// or spare one that isn't slow any more, because the store was restored from an older copy.
func TestSlowRanksOutliveARestoredStore(t *testing.T) {
	tests := []struct {
		name  string
		paces []float64
		copy  store.Value
		want  []string
	}{
		{"list is lost", []float64{1, 2}, store.Value{}, []string{"b"}},
		{"older list", []float64{2, 2}, store.Value{Data: []byte(`[{"start":{"id":"b"},"pace":2}]`), Modified: store.Revision(1, 1)}, []string{"a", "b"}},
		{"list of ranks that have recovered", []float64{1, 1}, store.Value{Data: []byte(`[{"start":{"id":"b"},"pace":2}]`), Modified: store.Revision(1, 1)}, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := &fakeStore{}
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			r := newSlowRankWriter(s, "k", hclog.NewNullLogger())
			r.checkInterval = 10 * time.Millisecond
			go r.run(ctx)
			r.update(ranksAt(1, 2))
			s.await(t, "b")
			r.update(ranksAt(tt.paces...))
			s.await(t, tt.want...)
			s.set(func() { s.value = tt.copy })
			s.await(t, tt.want...)
			if tt.want == nil {
				return
			}
			before := 0
			s.set(func() { before = s.writes })
			<-time.After(10 * r.checkInterval)
			s.set(func() {
				if s.writes != before {
					t.Errorf("%d writes of a list that the store has", s.writes-before)
				}
			})
		})
	}
}

// TestSmallPaceChangesAreNotWritten guards against writes that wake every entry without affecting
// its choice of rank.
func TestSmallPaceChangesAreNotWritten(t *testing.T) {
	s := &fakeStore{}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r := newSlowRankWriter(s, "k", hclog.NewNullLogger())
	go r.run(ctx)
	for _, pace := range []float64{1, 1.2, 1.24, 1.1, 1} {
		r.update(ranksAt(pace, 1))
	}
	r.update(ranksAt(1.3, 1))
	s.await(t, "a")
	for _, pace := range []float64{1.2, 1.24, 1.26, 1.15, 1.3} {
		r.update(ranksAt(pace, 1))
	}
	r.update(ranksAt(1.05, 1))
	s.await(t)
	if s.writes != 2 {
		t.Errorf("%d writes, want 2", s.writes)
	}
}
