package retry

import "time"

const (
	// minBackoff is the shortest backoff of a rejected caller.
	minBackoff = 50 * time.Millisecond
	// outageBackoffFraction is the fraction of its remaining time that a caller backs off during an
	// outage, because callers honor a Retry-After of up to a third of their time.
	outageBackoffFraction = 0.33
	// maxOutageBackoff caps the backoff during an outage, so that a caller with much time left
	// returns soon after a short outage.
	maxOutageBackoff = 4 * time.Second
	// jitterDivisor sets the jitter to one sixth of the backoff.
	jitterDivisor = 6
)

// Rejection describes a rejected request for computing its backoff.
type Rejection struct {
	// TargetLatency is the time within which requests of the class should begin. Remaining is the
	// time until the caller's deadline.
	TargetLatency time.Duration
	Remaining     time.Duration
	// AvailableIn is the time until the first instance accepts requests if all instances are
	// blocked, zero otherwise.
	AvailableIn time.Duration
	// Unavailable reports whether the service can't serve any request.
	Unavailable bool
}

// Backoff returns how long a rejected caller should wait before it retries: about half the target
// latency for a busy service, slightly more than AvailableIn if all instances are blocked, and as
// long as callers honor during an outage. The result is jittered with randomIntN, which returns a
// random number below its argument, so that callers don't all return at the same time.
func Backoff(r Rejection, randomIntN func(n int) int) time.Duration {
	base := max(r.TargetLatency/2, minBackoff)
	if r.AvailableIn > base {
		return r.AvailableIn + time.Duration(randomIntN(int(max(base, r.AvailableIn/jitterDivisor))))
	}
	if r.Unavailable {
		base = max(base, min(time.Duration(outageBackoffFraction*float64(r.Remaining)), maxOutageBackoff))
		return base - time.Duration(randomIntN(int(base/jitterDivisor)+1))
	}
	return base + time.Duration(randomIntN(int(base)))
}
