package gate

import (
	"sync"
	"time"

	"geraniumpass/core"
)

// bornSlack is how far the clocks of instances and entries may differ.
const bornSlack = 2 * time.Second

// rests keeps until when instances want nothing from this entry, by their ids.
type rests struct {
	mu sync.Mutex
	by map[string]rest
}

// rest is the newest that the starts under one id have asked for.
type rest struct {
	// start is the one that the refused request was sent to.
	start core.Start
	asked time.Time
	until time.Time
}

func newRests() *rests {
	return &rests{by: make(map[string]rest)}
}

// ask notes that an instance has just asked for rest until a moment. The latest of several holds, also when an answer to another request
// tells of a shorter one.
func (r *rests) ask(start core.Start, now, until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.by[start.ID]
	if start.StartedAt < old.start.StartedAt || old.holdsFor(start) && !until.After(old.until) {
		return
	}
	r.by[start.ID] = rest{
		start: start,
		asked: now,
		until: until,
	}
}

// left returns how long an instance still rests, zero when it doesn't.
func (r *rests) left(start core.Start, now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	asked := r.by[start.ID]
	if !asked.holdsFor(start) {
		return 0
	}
	return max(0, asked.until.Sub(now))
}

// holdsFor returns true for a start that may have asked for the rest: the one that the request was sent to, or a later one that had begun by
// then, as an entry hears late of a start under an id that it knows.
func (r rest) holdsFor(start core.Start) bool {
	return start == r.start || start.StartedAt > r.start.StartedAt && time.UnixMilli(start.StartedAt).Before(r.asked.Add(bornSlack))
}

// forget drops rests that are over. One of an instance that is not listed is kept: its entry may come back.
func (r *rests) forget(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, asked := range r.by {
		if !now.Before(asked.until) {
			delete(r.by, id)
		}
	}
}
