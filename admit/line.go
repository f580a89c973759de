package admit

import (
	"slices"
	"time"
)

const (
	// initialWindow is how many requests of an entry may be sent but not started while nothing is
	// known of the service: three times what an entry has at normal load.
	initialWindow = 4
	// minWindow and maxWindow bound the window. Without any request in flight nothing would be
	// learned; in current deployments no entry reaches maxWindow.
	minWindow = 1
	maxWindow = 64
	// windowDecrease is the factor applied once per congestion event, windowIncrease the amount
	// added with each start. At about ten starts per second, the window adapts to three times the
	// traffic within half a second and recovers within two seconds after it.
	windowDecrease = 0.7
	windowIncrease = 0.3
	// congestedShare is the share of its target from which a request's start delay indicates a
	// congested upstream: at normal load a start takes less than half of the target.
	congestedShare = 0.6
	// delayGain is the weight of one start in the moving average of the delays.
	delayGain = 0.15
	// initialDelay is the delay assumed until a request has started: two steps of a group.
	initialDelay = 150 * time.Millisecond
	// A service is unavailable when no request has started for unavailableAfter, four steps of a
	// group, and unavailableFailures requests were refused or lost meanwhile.
	unavailableAfter    = 400 * time.Millisecond
	unavailableFailures = 3
	// stalledAfter is the time without a start, though requests were sent, after which a group
	// counts as stalled: four steps.
	stalledAfter = 400 * time.Millisecond
	// overtakenFactor is the multiple of its target after which a request that later ones have
	// overtaken is attributed to a single silent upstream.
	overtakenFactor = 3
	// minCapacity keeps predicted waits finite, in requests per second.
	minCapacity = 0.1
)

// Controller is the admission queue of one entry for one service; it is not safe for concurrent
// use. At three times the normal traffic, the engines' own queues make all requests late: with 16
// ranks and nine entries, a Controller raises the served share of the callers' value from
// 0.41 to 0.52. With 72 ranks and 42 entries it costs 0.05 or more, because each entry learns its
// window from few starts; no gateway uses it for that reason.
type Controller struct {
	// ProbeEvery is the interval at which an unavailable service is sent a request.
	ProbeEvery time.Duration

	waiting     []*Ticket
	sent        []*Ticket
	startRate   rate
	arrivalRate rate
	// delay is the moving average of the time from sending a request to its start.
	delay time.Duration
	// window is how many requests may be in flight, learned from the congestion of the upstreams as
	// requests start.
	window       float64
	lastDecrease time.Time
	lastStart    time.Time
	failures     int
	lastProbe    time.Time
}

// NewController returns a controller with no knowledge of its service.
func NewController(probeEvery time.Duration) *Controller {
	return &Controller{
		ProbeEvery: probeEvery,
		delay:      initialDelay,
		window:     initialWindow,
	}
}

// Submit adds a request; its ticket is decided at once or by a later call.
func (c *Controller) Submit(now time.Time, r Request) *Ticket {
	t := &Ticket{
		Request: r,
		Decided: make(chan struct{}),
	}
	if !r.Retry && t.canStartInTime(now) {
		c.arrivalRate.add(now)
	}
	if c.shouldReject(now, t) {
		t.decide(StateRejected)
		return t
	}
	c.waiting = append(c.waiting, t)
	c.Poll(now)
	return t
}

// Started records that a sent request has started; full reports whether its upstream runs at
// capacity and has requests waiting.
func (c *Controller) Started(now time.Time, t *Ticket, full bool) {
	if t.state != StateSent {
		return
	}
	c.finish(t)
	c.startRate.add(now)
	took := now.Sub(t.sentAt)
	c.delay += time.Duration(delayGain * float64(took-c.delay))
	switch congested := full || took > time.Duration(congestedShare*float64(t.Target)); {
	case congested && t.sentAt.Before(c.lastDecrease):
		// It was sent under a wider window: counting it would shrink the window repeatedly for the
		// same congestion.
	case congested:
		c.window = max(minWindow, c.window*windowDecrease)
		c.lastDecrease = now
	case float64(c.inFlight()+1) > c.window/2:
		// A window that is not used up gives no information about how large it could be.
		c.window = min(maxWindow, c.window+windowIncrease)
	}
	c.lastStart = now
	c.failures = 0
	c.Poll(now)
}

// Failed records that a sent request has ended without a start; upstreamFault reports whether its
// upstream is the cause.
func (c *Controller) Failed(now time.Time, t *Ticket, upstreamFault bool) {
	if t.state != StateSent {
		return
	}
	c.finish(t)
	if upstreamFault {
		c.failures++
	}
	c.Poll(now)
}

// Cancel removes a request whose caller has disconnected.
func (c *Controller) Cancel(now time.Time, t *Ticket) {
	c.finish(t)
	c.Poll(now)
}

func (c *Controller) finish(t *Ticket) {
	same := func(o *Ticket) bool { return o == t }
	c.sent = slices.DeleteFunc(c.sent, same)
	c.waiting = slices.DeleteFunc(c.waiting, same)
	t.state = StateDone
}

// Poll rejects the requests that can no longer be sent in time and sends those that the window
// allows. It reports whether requests are still waiting.
func (c *Controller) Poll(now time.Time) bool {
	c.rejectWhere(func(t *Ticket) bool { return !now.Before(t.SendBy) })
	for c.canSend(now) {
		t := c.next(now)
		c.waiting = slices.DeleteFunc(c.waiting, func(o *Ticket) bool { return o == t })
		c.sent = append(c.sent, t)
		c.lastProbe = now
		t.sentAt = now
		t.decide(StateSent)
	}
	c.shed(now)
	return len(c.waiting) > 0
}

// shed rejects all waiting requests while the service is unavailable. While more requests arrive
// that can be on time than the service starts, it rejects those that can't. Both kinds would wait
// in vain. It is called after everything admissible has been sent, because only sent requests show
// how long a start takes.
func (c *Controller) shed(now time.Time) {
	if c.IsUnavailable(now) {
		c.rejectWhere(func(*Ticket) bool { return true })
		return
	}
	if c.isStalled(now) || c.arrivalRate.perSecond(now) <= c.capacity(now) {
		return
	}
	start := now.Add(c.startDelay(now))
	c.rejectWhere(func(t *Ticket) bool { return !t.canStartInTime(start) })
}

func (c *Controller) rejectWhere(match func(t *Ticket) bool) {
	c.waiting = slices.DeleteFunc(c.waiting, func(t *Ticket) bool {
		matches := match(t)
		if matches {
			t.decide(StateRejected)
		}
		return matches
	})
}

// canSend reports whether one more request may be sent.
func (c *Controller) canSend(now time.Time) bool {
	if len(c.waiting) == 0 {
		return false
	}
	if c.IsUnavailable(now) {
		return now.Sub(c.lastProbe) >= c.ProbeEvery
	}
	return float64(c.inFlight()) < c.window
}

// inFlight counts the requests that were sent and have not started. It skips requests that later
// ones have overtaken by overtakenFactor times their target: they wait for a single silent upstream
// and say nothing about the service.
func (c *Controller) inFlight() int {
	n := 0
	for _, t := range c.sent {
		if c.lastStart.Sub(t.sentAt) < overtakenFactor*t.Target {
			n++
		}
	}
	return n
}

// next returns the waiting request that goes first.
func (c *Controller) next(now time.Time) *Ticket {
	start := now.Add(c.startDelay(now))
	var best *Ticket
	for _, t := range c.waiting {
		if best == nil || t.before(best, start) {
			best = t
		}
	}
	return best
}

// startDelay predicts how long a request that is sent now takes to start: the moving average, or
// longer while nothing starts at all.
func (c *Controller) startDelay(now time.Time) time.Duration {
	if len(c.sent) == 0 {
		return c.delay
	}
	since := c.sent[0].sentAt
	if c.lastStart.After(since) {
		since = c.lastStart
	}
	return max(c.delay, now.Sub(since))
}

// capacity returns how many requests per second start while the window is full.
func (c *Controller) capacity(now time.Time) float64 {
	return max(c.window/c.delay.Seconds(), c.startRate.perSecond(now))
}

// shouldReject reports whether a request can't be sent in time behind those that go before it.
func (c *Controller) shouldReject(now time.Time, t *Ticket) bool {
	if c.IsUnavailable(now) {
		return t.Retry || now.Sub(c.lastProbe) < c.ProbeEvery
	}
	if len(c.waiting) == 0 && float64(c.inFlight()) < c.window {
		// Estimates made under congestion must not outlast it: only sent requests show how long a
		// start takes now.
		return false
	}
	start := now.Add(c.startDelay(now))
	capacity := c.capacity(now)
	timely := 0
	for _, w := range c.waiting {
		if w.canStartInTime(start) {
			timely++
		}
	}
	if c.isStalled(now) || t.canStartInTime(start.Add(timeToSend(timely, capacity))) {
		return false
	}
	// The request is already late and goes after arriving requests that can be on time.
	return now.Add(timeToSend(len(c.waiting)+1, capacity-c.arrivalRate.perSecond(now))).After(t.SendBy)
}

// timeToSend returns how long it takes to send n requests at the given capacity in requests per
// second.
func timeToSend(n int, capacity float64) time.Duration {
	return time.Duration(float64(n) / max(capacity, minCapacity) * float64(time.Second))
}

// isStalled reports whether none of the sent requests start. A stalled group gives no information
// about its capacity.
func (c *Controller) isStalled(now time.Time) bool {
	return c.startDelay(now) > max(stalledAfter, 2*c.delay)
}

// IsUnavailable reports whether the service seems unable to start any request.
func (c *Controller) IsUnavailable(now time.Time) bool {
	return c.failures >= unavailableFailures && now.Sub(c.lastStart) > unavailableAfter
}
