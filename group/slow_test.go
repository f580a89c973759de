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

// oneKey is a store with one key.
type oneKey struct {
	store.Store

	mu     sync.Mutex
	value  store.Value
	writes int
	// down makes writes fail, lost makes the next one take effect without an answer.
	down bool
	lost bool
}

func (s *oneKey) Get(context.Context, string) (store.Value, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.value, nil
}

func (s *oneKey) Swap(_ context.Context, key string, data []byte, modified int64, _ store.Lease) (store.Value, error) {
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
		return store.Value{}, &store.UnsureError{Cause: errors.New("no answer")}
	}
	return s.value, nil
}

func (s *oneKey) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// slow returns the ids that the key names, in its order.
func (s *oneKey) slow(t *testing.T) []string {
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

func (s *oneKey) await(t *testing.T, want ...string) {
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
			t.Fatalf("the store names %v as slow, want %v", got, want)
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

// TestStoreNamesTheSlowRanks has ranks turn slow and recover while writes are lost, refused or left behind by an earlier leader.
func TestStoreNamesTheSlowRanks(t *testing.T) {
	tests := []struct {
		name string
		left string
		harm func(s *oneKey)
	}{
		{"nothing goes wrong", "", func(*oneKey) {}},
		{"an earlier leader has left others", `[{"start":{"id":"z"},"pace":2}]`, func(*oneKey) {}},
		{"the store is down for a while", "", func(s *oneKey) {
			s.set(func() { s.down = true })
			time.AfterFunc(200*time.Millisecond, func() { s.set(func() { s.down = false }) })
		}},
		{"an answer is lost", "", func(s *oneKey) { s.set(func() { s.lost = true }) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := &oneKey{}
			if tt.left != "" {
				s.value = store.Value{Data: []byte(tt.left), Modified: 7}
			}
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			r := newSlowRanks(s, "k", hclog.NewNullLogger())
			go r.run(ctx)
			s.await(t)
			tt.harm(s)
			r.see(ranksAt(1, 2, 1))
			s.await(t, "b")
			r.see(ranksAt(1.3, 2, 1))
			s.await(t, "a", "b")
			r.see(ranksAt(1, 1, 1))
			s.await(t)
		})
	}
}

// TestSmallChangesOfAPaceAreNotWritten keeps each entry from being woken by what changes no choice.
func TestSmallChangesOfAPaceAreNotWritten(t *testing.T) {
	s := &oneKey{}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r := newSlowRanks(s, "k", hclog.NewNullLogger())
	go r.run(ctx)
	for _, pace := range []float64{1, 1.2, 1.24, 1.1, 1} {
		r.see(ranksAt(pace, 1))
	}
	r.see(ranksAt(1.3, 1))
	s.await(t, "a")
	for _, pace := range []float64{1.2, 1.24, 1.26, 1.15, 1.3} {
		r.see(ranksAt(pace, 1))
	}
	r.see(ranksAt(1.05, 1))
	s.await(t)
	if s.writes != 2 {
		t.Errorf("%d writes, want 2", s.writes)
	}
}
