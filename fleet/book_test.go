package fleet

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"geraniumpass/core"
)

func TestRemovedInstances(t *testing.T) {
	start := time.Unix(1000, 0)
	tests := []struct {
		name    string
		play    func(r *Registry)
		at      time.Duration
		present bool
	}{
		{
			name:    "gone in calm times",
			play:    func(r *Registry) { r.Remove("i", start) },
			present: false,
		},
		{
			name: "lapsed while the store is down",
			play: func(r *Registry) {
				r.StoreDown()
				r.Remove("i", start)
			},
			at:      time.Minute,
			present: true,
		},
		{
			name: "missing right after the store's return",
			play: func(r *Registry) {
				r.StoreDown()
				r.StoreUp(start)
				r.Replace(nil, start)
			},
			at:      ReregisterGrace - time.Millisecond,
			present: true,
		},
		{
			name: "still missing two seconds after the store's return",
			play: func(r *Registry) {
				r.StoreDown()
				r.Remove("i", start)
				r.StoreUp(start)
			},
			at:      ReregisterGrace,
			present: false,
		},
		{
			name: "back in time",
			play: func(r *Registry) {
				r.StoreDown()
				r.Remove("i", start)
				r.StoreUp(start)
				r.Put(core.Instance{ID: "i"})
			},
			at:      ReregisterGrace,
			present: true,
		},
		{
			name: "dropped by a peer while the store is down here only",
			play: func(r *Registry) {
				r.StoreDown()
				r.Adopt(nil, nil, start)
			},
			present: false,
		},
		{
			name: "lapsed here and dropped by a peer",
			play: func(r *Registry) {
				r.StoreDown()
				r.Remove("i", start)
				r.Adopt(nil, nil, start)
			},
			present: false,
		},
		{
			name:    "lapsed at a peer",
			play:    func(r *Registry) { r.Adopt([]core.Instance{{ID: "i"}}, []string{"i"}, start) },
			at:      ReregisterGrace - time.Millisecond,
			present: true,
		},
		{
			name:    "lapsed at a peer and not back in time",
			play:    func(r *Registry) { r.Adopt([]core.Instance{{ID: "i"}}, []string{"i"}, start) },
			at:      ReregisterGrace,
			present: false,
		},
		{
			name: "known to leave before its entry lapsed",
			play: func(r *Registry) {
				r.Put(core.Instance{ID: "i", Leaving: true})
				r.StoreDown()
				r.Remove("i", start)
			},
			present: false,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := New()
			r.Put(core.Instance{ID: "i"})
			tt.play(r)
			r.Expire(start.Add(tt.at))
			if got := len(r.List()) == 1; got != tt.present {
				t.Errorf("present: %v, want %v", got, tt.present)
			}
		})
	}
}

// TestInstanceLapsedAtPeerExpiresWhileStoreDown guards against sending work to an instance that
// left: a process that can't reach the store learns from a peer that the entry has disappeared, but
// keeps the instance until its own connection to the store is back.
func TestInstanceLapsedAtPeerExpiresWhileStoreDown(t *testing.T) {
	in := core.Instance{ID: "i-1", Service: "svc"}
	start := time.Unix(100, 0)
	tests := []struct {
		name string
		do   func(r *Registry)
		at   time.Duration
		want int
	}{
		{"learned while down, within its time", func(r *Registry) { r.StoreDown(); r.Adopt([]core.Instance{in}, []string{in.ID}, start) }, ReregisterGrace - time.Millisecond, 1},
		{"learned while down, its time over", func(r *Registry) { r.StoreDown(); r.Adopt([]core.Instance{in}, []string{in.ID}, start); r.StoreDown() }, ReregisterGrace, 0},
		{"not made longer by the own return", func(r *Registry) {
			r.StoreDown()
			r.Adopt([]core.Instance{in}, []string{in.ID}, start)
			r.StoreUp(start.Add(ReregisterGrace / 2))
		}, ReregisterGrace, 0},
		{"lost once more meanwhile", func(r *Registry) { r.Adopt([]core.Instance{in}, []string{in.ID}, start); r.StoreDown() }, ReregisterGrace, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := New()
			r.Put(in)
			tt.do(r)
			r.Expire(start.Add(tt.at))
			if got := len(r.List()); got != tt.want {
				t.Errorf("%d instances listed, want %d", got, tt.want)
			}
		})
	}
}

// TestPutIgnoresEarlierStarts checks that reports of two incarnations of one instance may arrive in
// any order and by any path.
func TestPutIgnoresEarlierStarts(t *testing.T) {
	start := time.Unix(1000, 0)
	earlier := core.Instance{ID: "i", Address: "a", StartedAt: 100}
	later := core.Instance{ID: "i", Address: "b", StartedAt: 200}
	unknown := core.Instance{ID: "i", Address: "c"}
	tests := []struct {
		name string
		play func(r *Registry)
		want []core.Instance
	}{
		{"a later one", func(r *Registry) { r.Put(earlier); r.Put(later) }, []core.Instance{later}},
		{"an earlier one comes late", func(r *Registry) { r.Put(later); r.Put(earlier) }, []core.Instance{later}},
		{"one that doesn't say", func(r *Registry) { r.Put(later); r.Put(unknown) }, []core.Instance{later}},
		{"in a whole list", func(r *Registry) { r.Put(later); r.Replace([]core.Instance{earlier}, start) }, []core.Instance{later}},
		{"in a peer's list", func(r *Registry) { r.Put(later); r.Adopt([]core.Instance{earlier}, nil, start) }, []core.Instance{later}},
		{"after the entry has gone", func(r *Registry) { r.Put(later); r.Remove("i", start); r.Put(earlier) }, nil},
		{"in a peer's list after that", func(r *Registry) { r.Put(later); r.Remove("i", start); r.Adopt([]core.Instance{earlier}, nil, start) }, nil},
		{"a start that was leaving is replaced", func(r *Registry) { e := earlier; e.Leaving = true; r.Put(e); r.Put(later) }, []core.Instance{later}},
		{"an entry that names no instance", func(r *Registry) { r.StoreDown(); r.Put(later); r.Delete("i") }, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := New()
			tt.play(r)
			if got := r.List(); !slices.Equal(got, tt.want) {
				t.Errorf("got %+v, want %+v", got, tt.want)
			}
		})
	}
}

// TestStartsArePruned guards against unbounded growth of the remembered start times when more
// instances come and go than maxStarts.
func TestStartsArePruned(t *testing.T) {
	r := New()
	r.Put(core.Instance{ID: "stays", StartedAt: 5})
	for i := range 2 * maxStarts {
		id := strconv.Itoa(i)
		r.Put(core.Instance{ID: id, StartedAt: 5})
		r.Delete(id)
	}
	if n := len(r.startedAt); n > maxStarts+1 {
		t.Errorf("%d start times remembered, want at most %d", n, maxStarts+1)
	}
	if r.Put(core.Instance{ID: "stays", StartedAt: 4}) {
		t.Error("the start time of a listed instance was pruned")
	}
}
