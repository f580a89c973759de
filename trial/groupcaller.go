package trial

import (
	"slices"
	"time"

	"geraniumpass/admit"
	"geraniumpass/retry"
	"geraniumpass/route"
)

// groupCaller is a caller with one request.
type groupCaller struct {
	w       *groupWorld
	window  int
	arrived time.Duration
	entry   int
	rank    int
	retried bool
	// started is set by the first event, late by an event after its deadline; lastEvent is the time
	// of the latest event.
	started   bool
	late      bool
	lastEvent time.Duration
	done      bool
	stream    *stream
	ticket    *admit.Ticket
}

// submit sends the request to a random entry.
func (c *groupCaller) submit() {
	w := c.w
	c.entry = w.random.IntN(groupEntries)
	c.lastEvent = w.now
	if w.controllers == nil {
		c.send()
		return
	}
	onTime := w.time().Add(groupTarget)
	if c.retried && w.now-c.arrived > callerDeadline/5 {
		// The remaining time shows the entry that this is a retry, so the target counts from the
		// first attempt.
		onTime = epoch.Add(c.arrived + groupTarget)
	}
	c.ticket = w.controllers[c.entry].Submit(w.time(), admit.Request{
		Target:  groupTarget,
		StartBy: onTime,
		SendBy:  w.time().Add(maxAdmissionWait),
	})
	w.pending = append(w.pending, c)
	w.processDecided()
}

// processDecided sends or refuses the requests whose tickets have been decided.
func (w *groupWorld) processDecided() {
	for _, c := range slices.Clone(w.pending) {
		state := c.ticket.State()
		if state == admit.StateWaiting {
			continue
		}
		w.pending = slices.DeleteFunc(w.pending, func(o *groupCaller) bool { return o == c })
		if state == admit.StateSent {
			c.send()
		} else {
			c.onRefused()
		}
	}
}

// send dispatches the request to the rank that is least loaded from the view of its entry.
func (c *groupCaller) send() {
	w := c.w
	views := make([]route.InstanceView, groupRanks)
	for r := range views {
		views[r] = route.InstanceView{
			Load:  float64(w.inFlight[c.entry][r]) + w.othersLoad(c.entry, r),
			Slots: groupSlots,
		}
	}
	c.rank = route.LeastLoaded(views, "", w.random)
	s := newStream(w.random)
	s.onStart = c.onStart
	s.onEvent = c.onEvent
	s.onEnd = c.onEnd
	c.stream = s
	if !w.group.send(c.rank, s) {
		w.reportFailure(c, true)
		c.onRefused()
		return
	}
	w.inFlight[c.entry][c.rank]++
	w.after(callerIdleTimeout, func() { c.abandonIfIdle(s) })
}

// othersLoad estimates the load that other entries put on a rank. Reports arrive with answers and
// are about one answer old, which knownLoadShare accounts for.
func (w *groupWorld) othersLoad(entry, rank int) float64 {
	running, waiting := w.group.load(rank)
	return float64(running+waiting-w.inFlight[entry][rank]) * knownLoadShare
}

func (c *groupCaller) onStart(full bool) {
	c.late = c.late || c.w.now-c.arrived > groupTarget
	c.started = true
	c.lastEvent = c.w.now
	if c.w.controllers != nil {
		c.w.controllers[c.entry].Started(c.w.time(), c.ticket, full)
		c.w.processDecided()
	}
}

func (c *groupCaller) onEvent() {
	c.late = c.late || c.w.now-c.lastEvent > groupEventGap
	c.lastEvent = c.w.now
}

// onEnd handles the end of the request at its rank.
func (c *groupCaller) onEnd(completed bool) {
	w := c.w
	w.inFlight[c.entry][c.rank]--
	c.stream.closed = true
	switch {
	case completed && c.late:
		c.count(w.result.Late)
	case completed:
		c.count(w.result.OnTime)
	case c.started || c.retried:
		w.reportFailure(c, true)
		c.count(w.result.Failed)
	default:
		w.reportFailure(c, true)
		c.onRefused()
	}
}

// abandonIfIdle ends the request if its caller has waited callerIdleTimeout for an event.
func (c *groupCaller) abandonIfIdle(s *stream) {
	w := c.w
	if c.done || s.closed || c.stream != s {
		return
	}
	if idle := w.now - c.lastEvent; idle < callerIdleTimeout {
		w.after(callerIdleTimeout-idle, func() { c.abandonIfIdle(s) })
		return
	}
	s.closed = true
	w.inFlight[c.entry][c.rank]--
	w.reportFailure(c, false)
	c.count(w.result.Failed)
}

// reportFailure reports to the admission controller that a request ended before it started.
func (w *groupWorld) reportFailure(c *groupCaller, refused bool) {
	if w.controllers != nil && !c.started {
		w.controllers[c.entry].Failed(w.time(), c.ticket, refused)
		w.processDecided()
	}
}

// onRefused schedules the caller's only retry, or counts the refusal of that retry.
func (c *groupCaller) onRefused() {
	w := c.w
	if c.retried {
		c.count(w.result.Refused)
		return
	}
	c.retried = true
	w.after(retry.Backoff(retry.Rejection{
		TargetLatency: groupTarget,
		Remaining:     callerDeadline - (w.now - c.arrived),
		Unavailable:   inAnySpan(w.scenario.Outages, w.now),
	}, w.random.IntN), c.submit)
}

func (c *groupCaller) count(windows []int) {
	if !c.done {
		c.done = true
		windows[c.window]++
	}
}
