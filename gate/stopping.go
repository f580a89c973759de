package gate

import (
	"context"
	"time"
)

// reasonStopping is logged for requests that were not sent because the process ends too soon.
const reasonStopping = "stopping"

// Drain makes every further answer close its caller's connection. Requests whose answers are not expected
// by due are refused from now on, and those that have no answer by then get their final one.
func (g *Gate) Drain(due time.Time) {
	g.due.Store(&due)
	// A request that didn't see due was admitted before this moment.
	g.drainedAt = g.clock.Now()
	g.clock.AfterFunc(due.Sub(g.clock.Now()), g.expire)
}

// finalDue returns when all answers are due because the process ends. ok is false while it does not stop.
func (g *Gate) finalDue() (due time.Time, ok bool) {
	if p := g.due.Load(); p != nil {
		return *p, true
	}
	return time.Time{}, false
}

// outlastsProcess reports whether the answer of the request is expected only after the process has ended.
func (r *request) outlastsProcess() bool {
	due, stopping := r.g.finalDue()
	if !stopping {
		return false
	}
	now := r.g.clock.Now()
	work := min(r.g.durations.expected(r.route), r.deadline.Sub(now))
	return now.Add(work).After(due)
}

// onExpiry calls f when all answers are due. The returned function undoes this.
func (r *request) onExpiry(f func()) (stop func() bool) {
	return context.AfterFunc(r.g.expired, f)
}

// expireWait ends the wait for an answer of which the caller has nothing yet. An answer that has begun can
// only be completed by its instance.
func (a *attempt) expireWait() {
	r := a.r
	r.g.log.Info("request outlasts the stop", "id", shortened(r.call.ID), "route", r.route.Name, "instance", a.instance.ID,
		"ms", r.g.elapsed(r.receivedAt).Milliseconds(), "begun", r.begun.Load(), "admitted_before", a.admittedAt.Before(r.g.drainedAt))
	if !r.begun.Load() {
		_ = a.conn.SetDeadline(elapsedDeadline)
	}
}
