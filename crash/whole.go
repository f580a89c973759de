package crash

import "time"

const (
	// maxCompletions bounds the number of remembered completed requests, completionTTL the time
	// they are remembered.
	maxCompletions = 2048
	completionTTL  = time.Minute
)

// completions remembers requests that recently ran to completion. Harmless requests are often
// repeated all day, so some of them are running whenever an instance terminates.
type completions struct {
	at   map[Digest]time.Time
	ring []Digest
	next int
}

func newCompletions() *completions {
	return &completions{
		at:   make(map[Digest]time.Time, maxCompletions),
		ring: make([]Digest, maxCompletions),
	}
}

func (c *completions) add(d Digest, now time.Time) {
	if _, known := c.at[d]; !known {
		delete(c.at, c.ring[c.next])
		c.ring[c.next] = d
		c.next = (c.next + 1) % maxCompletions
	}
	c.at[d] = now
}

func (c *completions) has(d Digest, now time.Time) bool {
	at, ok := c.at[d]
	return ok && now.Sub(at) < completionTTL
}
