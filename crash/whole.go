package crash

import "time"

const (
	// wholeKept bounds how many requests that were answered whole are remembered, wholeFor for how long.
	wholeKept = 2048
	wholeFor  = time.Minute
)

// wholes remembers requests that ran whole lately: many that do nothing wrong are the same all day, and some of them are always running when
// an instance ends.
type wholes struct {
	at   map[Digest]time.Time
	ring []Digest
	next int
}

func newWholes() *wholes {
	return &wholes{
		at:   make(map[Digest]time.Time, wholeKept),
		ring: make([]Digest, wholeKept),
	}
}

func (w *wholes) add(d Digest, now time.Time) {
	if _, known := w.at[d]; !known {
		delete(w.at, w.ring[w.next])
		w.ring[w.next] = d
		w.next = (w.next + 1) % wholeKept
	}
	w.at[d] = now
}

func (w *wholes) has(d Digest, now time.Time) bool {
	at, ok := w.at[d]
	return ok && now.Sub(at) < wholeFor
}
