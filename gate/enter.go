package gate

import (
	"time"

	"geraniumpass/admit"
	"geraniumpass/plan"
)

// lineShare is the part of the time until its first event is due that a request may wait in line: longer, and most of a caller's patience is
// gone when it is told to come back.
const lineShare = 0.5

// enter waits until the request may be sent and returns false when it is refused or its caller has left.
func (r *request) enter() bool {
	var t *admit.Ticket
	joined := r.g.clock.Now()
	defer func() { r.lined += r.g.since(joined) }()
	r.line(func(l *admit.Line, now time.Time) { t = l.Join(now, r.ask()) })
	select {
	case <-t.Decided:
	case <-r.ctx.Done():
		r.line(func(l *admit.Line, now time.Time) { l.Quit(now, t) })
		return false
	}
	sent := false
	r.line(func(*admit.Line, time.Time) { sent = t.State() == admit.StateSent })
	if !sent {
		r.crowded = true
		return false
	}
	r.ticket = t
	return true
}

// ask is what the line is told of the request.
func (r *request) ask() admit.Ask {
	leave := r.came.Add(time.Duration(lineShare * float64(r.due().Sub(r.came))))
	return admit.Ask{
		Aim:    r.route.Aim,
		OnTime: r.came.Add(r.route.Aim - r.age),
		Leave:  leave,
		Again:  r.sends > 0,
	}
}

// line runs fn on the line of the request's service.
func (r *request) line(fn func(*admit.Line, time.Time)) {
	r.g.lines.do(r.service.Name, entries(r.snap), fn)
}

// hasBegun tells the line that an upstream has begun the request; full is true when that one says that it runs all it can.
func (r *request) hasBegun(full bool) {
	if t := r.ticket; t != nil {
		r.ticket = nil
		r.line(func(l *admit.Line, now time.Time) { l.Begun(now, t, full) })
	}
}

// notBegun tells the line that the request ended without a beginning, if it did; refused is true when an upstream is the cause.
func (r *request) notBegun(refused bool) {
	if t := r.ticket; t != nil {
		r.ticket = nil
		r.line(func(l *admit.Line, now time.Time) { l.Failed(now, t, refused) })
	}
}

// queues returns true for a request that waits in line: streams that have begun go on at once.
func (r *request) queues() bool {
	return !r.stream.begun && r.service.Engine != nil && r.route.Kind == plan.KindStream
}
