package accept

import "time"

const (
	// minHeadBytes and minHeadTime are the least bounds of a request's head, in bytes and time.
	minHeadBytes = 64 << 10
	minHeadTime  = 10 * time.Second
	// minIdleTime is the least time that a connection may be idle between requests.
	minIdleTime = 5 * time.Minute
	// headSlackBytes and timeSlackRatio are what a head may exceed its limits by, since limits are stated for
	// clients and don't cover what happens on the way.
	headSlackBytes = 4 << 10
	timeSlackRatio = 1.25
)

// Limits bounds what a client may send. Each zero field stands for its least bound.
type Limits struct {
	HeadBytes int
	HeadTime  time.Duration
	IdleTime  time.Duration
}

func (l Limits) headBytes() int64 {
	return int64(max(l.HeadBytes, minHeadBytes) + headSlackBytes)
}

func (l Limits) headTime() time.Duration {
	return max(time.Duration(timeSlackRatio*float64(l.HeadTime)), minHeadTime)
}

func (l Limits) idleTime() time.Duration {
	return max(time.Duration(timeSlackRatio*float64(l.IdleTime)), minIdleTime)
}
