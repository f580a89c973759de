package crash

import (
	"cmp"
	"slices"
	"time"
)

// Since returns the records changed after a sequence number returned by an earlier call, zero for
// all, and the current sequence number.
func (g *Registry) Since(after int64) ([]Termination, int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if after == g.seq {
		return nil, g.seq
	}
	return g.list(after, func(r *record) bool { return r.seq > after }), g.seq
}

// Local returns the records that this process publishes, the most recently confirmed ones if there are
// more than maxPublished.
func (g *Registry) Local() []Termination {
	g.mu.Lock()
	defer g.mu.Unlock()
	local := g.list(0, func(r *record) bool { return r.local })
	if len(local) > maxPublished {
		slices.SortFunc(local, func(a, b Termination) int { return cmp.Compare(a.Age, b.Age) })
		local = local[:maxPublished]
	}
	return local
}

// Changed returns a channel that is closed when a record changes.
func (g *Registry) Changed() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.changed
}

// LocalChanged returns a channel that is closed when a record published by this process changes.
func (g *Registry) LocalChanged() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.localChanged
}

// touch assigns the next sequence number to a changed record and wakes up waiters.
func (g *Registry) touch(r *record, confirmed time.Time, local bool) {
	g.seq++
	r.seq = g.seq
	g.suspects[r.Digest].seq = g.seq
	r.confirmed = confirmed
	close(g.changed)
	g.changed = make(chan struct{})
	if !local {
		return
	}
	r.local = true
	close(g.localChanged)
	g.localChanged = make(chan struct{})
}

// list returns the terminations selected by pick with their ages, of suspects that changed after a sequence
// number.
func (g *Registry) list(after int64, pick func(r *record) bool) []Termination {
	now := g.clock.Now()
	var out []Termination
	for _, s := range g.suspects {
		if s.seq <= after {
			continue
		}
		for _, r := range s.terminations {
			if pick(r) {
				e := r.Termination
				e.Age = max(0, now.Sub(r.confirmed))
				out = append(out, e)
			}
		}
	}
	return out
}
