package feed

import "time"

const (
	// retryPause is how long an agent that failed is not dialed; it doubles with each failure in a row
	// up to maxRetryPause, so that agents of a build without subscriptions are hardly ever dialed.
	retryPause    = 3 * time.Second
	maxRetryPause = 48 * time.Second
	// unheardRetryPause is the longest pause while nothing is heard of the agent's group.
	unheardRetryPause = time.Second
)

type candidateState int

const (
	stateIdle candidateState = iota
	stateDialing
	stateLive
)

// candidate is an agent that may be subscribed to.
type candidate struct {
	agent
	state candidateState
	// reported is the group that the agent itself named, empty while unknown.
	reported string
	// probeAt is when the agent may be dialed although its group is unknown.
	probeAt time.Time
	// order is the position of the present subscription among all, by its first message.
	order int
	// failedAt is when the last of the failures in a row was.
	failedAt time.Time
	failures int
}

// mayDial reports whether the agent can be dialed. unheard tells that nothing is heard of its group.
func (c *candidate) mayDial(now time.Time, unheard bool) bool {
	if c.state != stateIdle {
		return false
	}
	if c.failures == 0 {
		return true
	}
	pause := maxRetryPause
	if c.failures < 8 {
		pause = min(maxRetryPause, retryPause<<(c.failures-1))
	}
	if unheard {
		pause = min(pause, unheardRetryPause)
	}
	return now.Sub(c.failedAt) >= pause
}
