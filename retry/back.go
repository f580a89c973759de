package retry

import "time"

const (
	// leastReturn is the soonest that a refused caller is told to return.
	leastReturn = 50 * time.Millisecond
	// darkReturnPart is the part of its time after which a caller returns to a service that can't serve: callers heed up to a third.
	darkReturnPart = 0.33
	// darkReturnMost bounds it; the outages of groups that the users see last some five seconds.
	darkReturnMost = 4 * time.Second
	// spreadParts says how far returns are spread: over a sixth of the wait.
	spreadParts = 6
)

// Refusal is what the return of a refused caller depends on.
type Refusal struct {
	// Aim is the time within which its class is to begin, Left what remains of the caller's time.
	Aim  time.Duration
	Left time.Duration
	// Dark is true while the service can't serve anybody.
	Dark bool
}

// Back returns when a refused caller should come back: to a busy service after about half of its target, to one that can't serve at all as
// late as callers heed. Both are spread by draw, which returns a random number below its argument, so that callers don't return as one.
func Back(r Refusal, draw func(n int) int) time.Duration {
	base := max(r.Aim/2, leastReturn)
	if r.Dark {
		base = max(base, min(time.Duration(darkReturnPart*float64(r.Left)), darkReturnMost))
		return base - time.Duration(draw(int(base/spreadParts)+1))
	}
	return base + time.Duration(draw(int(base)))
}
