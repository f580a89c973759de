package gate

import (
	"sync"
	"time"

	"geraniumpass/core"
)

// rests keeps until when starts of instances want nothing from this entry.
type rests struct {
	mu sync.Mutex
	by map[core.Start]time.Time
}

func newRests() *rests {
	return &rests{by: make(map[core.Start]time.Time)}
}

// ask notes that an instance asks for rest until a moment. The latest of several holds, also when an answer to another request tells of a
// shorter one.
func (r *rests) ask(start core.Start, until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if until.After(r.by[start]) {
		r.by[start] = until
	}
}

// left returns how long an instance still rests, zero when it doesn't.
func (r *rests) left(start core.Start, now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(0, r.by[start].Sub(now))
}

// forget drops rests that are over. One of an instance that is not listed is kept: its entry may come back.
func (r *rests) forget(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for start, until := range r.by {
		if !now.Before(until) {
			delete(r.by, start)
		}
	}
}
