package admit

import (
	"math"
	"time"
)

// usualTime is the time constant of the usual rate of a rank, long enough that a surge of some ten seconds
// hardly changes it; recentTime is that of its recent rate, some streams.
const (
	usualTime  = time.Minute
	recentTime = 3 * time.Second
)

// usual tells how much of the recent traffic of a rank is usual. Its zero value has seen no request.
type usual struct {
	updatedAt time.Time
	startedAt time.Time
	long      float64
	short     float64
}

// add records a request.
func (u *usual) add(now time.Time) {
	if u.startedAt.IsZero() {
		u.startedAt, u.updatedAt = now, now
	}
	since := now.Sub(u.updatedAt)
	u.long = u.long*decayIn(since, usualTime) + 1
	u.short = u.short*decayIn(since, recentTime) + 1
	u.updatedAt = now
}

// share returns the usual rate as a share of the recent one, one at most.
func (u *usual) share(now time.Time) float64 {
	since := now.Sub(u.startedAt)
	long := u.long / (usualTime.Seconds() * (1 - decayIn(since, usualTime)))
	short := u.short / (recentTime.Seconds() * (1 - decayIn(since, recentTime)))
	if u.startedAt.IsZero() || since <= 0 || short <= long {
		return 1
	}
	return long / short
}

func decayIn(since, constant time.Duration) float64 {
	return math.Exp(-since.Seconds() / constant.Seconds())
}
