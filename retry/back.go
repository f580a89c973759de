package retry

import "time"

const (
	// minBackoff is the soonest that a refused caller is told to return.
	minBackoff = 50 * time.Millisecond
	// outageBackoffFraction is the part of its time after which a caller returns to a service that can't serve: callers heed up to a third.
	outageBackoffFraction = 0.33
	// maxOutageBackoff bounds it, so that a caller with much time is back soon after a short outage.
	maxOutageBackoff = 4 * time.Second
	// jitterParts says how far returns are spread: over a sixth of the wait.
	jitterParts = 6
)

// Refusal is what the return of a refused caller depends on.
type Refusal struct {
	// Aim is the time within which its class is to begin, Left what remains of the caller's time.
	Aim  time.Duration
	Left time.Duration
	// Room is when the first instance may be sent to, where all are known to take nothing until then; zero otherwise.
	Room time.Duration
	// Unavailable is true while the service can't serve anybody.
	Unavailable bool
}

// Backoff returns when a refused caller should come back: to a busy service after about half of its target, to instances that take nothing
// until a moment soon after it, to a service that can't serve at all as late as callers heed. Both are spread by draw, which returns a random number below its argument, so that callers don't return as one.
func Backoff(r Refusal, draw func(n int) int) time.Duration {
	base := max(r.Aim/2, minBackoff)
	if r.Room > base {
		return r.Room + time.Duration(draw(int(max(base, r.Room/jitterParts))))
	}
	if r.Unavailable {
		base = max(base, min(time.Duration(outageBackoffFraction*float64(r.Left)), maxOutageBackoff))
		return base - time.Duration(draw(int(base/jitterParts)+1))
	}
	return base + time.Duration(draw(int(base)))
}
