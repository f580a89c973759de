package fleet

import (
	"maps"
	"time"

	"geraniumpass/core"
)

const (
	// departedTTL is how long removed incarnations are remembered. Copies from which the store is
	// restored are some seconds old.
	departedTTL = time.Minute
	// pruneDepartedAt is the number of remembered incarnations from which expired ones are dropped.
	pruneDepartedAt = 1 << 12
)

// depart removes an instance and remembers its incarnation.
func (r *Registry) depart(id string, now time.Time) {
	if in, ok := r.instances[id]; ok {
		r.recordDeparted(in.Start(), now)
	}
	r.Delete(id)
}

// recordMissing remembers the incarnations of a former list that isn't in the present one.
func (r *Registry) recordMissing(old map[string]core.Instance, now time.Time) {
	for id, in := range old {
		if next, ok := r.instances[id]; !ok || next.Start() != in.Start() {
			r.recordDeparted(in.Start(), now)
		}
	}
}

func (r *Registry) recordDeparted(start core.Start, now time.Time) {
	if len(r.departed) >= pruneDepartedAt {
		maps.DeleteFunc(r.departed, func(_ core.Start, at time.Time) bool { return now.Sub(at) >= departedTTL })
	}
	r.departed[start] = now
}

// Left returns the incarnations that are leaving or were removed within the last minute, as keys.
func (r *Registry) Left(now time.Time) map[core.Start]int64 {
	out := make(map[core.Start]int64)
	for start, at := range r.departed {
		if in, listed := r.instances[start.ID]; now.Sub(at) < departedTTL && (!listed || in.Start() != start) {
			out[start] = 0
		}
	}
	for _, in := range r.instances {
		if in.Leaving {
			out[in.Start()] = 0
		}
	}
	return out
}
