package gate

import (
	"context"
	"errors"
	"net/http"
	"time"

	"geraniumpass/check"
	"geraniumpass/core"
	"geraniumpass/pool"
	"geraniumpass/retry"
)

const (
	// minSendTime is the time below which another send can't bring an answer any more.
	minSendTime = 30 * time.Millisecond
	// connectionParts is how many entries more than are known share an instance's connections, for those that come and go.
	connectionParts = 2
	// fewestConnections is what an entry may open to an instance however small its part is.
	fewestConnections = 3
	// usualConnections bounds the connections to an instance whose service names no bound.
	usualConnections = 64
	// failureWeight, lostWeight and refusedWeight say how much an instance's failed answer, a lost one and a refusal speak against it.
	failureWeight = 0.3
	lostWeight    = 1.0
	refusedWeight = 0.7
)

// verdict is what an attempt leaves to be done.
type verdict uint8

const (
	// verdictDone means that the caller has its answer.
	verdictDone verdict = iota
	// verdictUnsent means that no byte reached an upstream.
	verdictUnsent
	// verdictNotRun means that the upstream promises not to have run it.
	verdictNotRun
	// verdictLost means that it may have run.
	verdictLost
	// verdictFailed means that a whole answer came that tells of a failure.
	verdictFailed
	// verdictGone means that the caller left.
	verdictGone
)

// exchange tries upstreams until the request is answered or given up, and returns the status that the caller got.
func (r *request) exchange() int {
	now := r.g.clock.Now()
	r.g.repeats.Request(now, r.service.Name)
	// Connections that can't be opened are no sends; their number is bounded all the same.
	for tries := 0; tries <= r.route.Attempts+2; tries++ {
		if r.ctx.Err() != nil {
			return statusGone
		}
		if r.due().Sub(r.g.clock.Now()) < minSendTime {
			break
		}
		if r.isCrashing() {
			return r.failCrashing()
		}
		in, ok := r.pick()
		if !ok {
			break
		}
		if r.sends > 0 && !r.takeRepeat() {
			r.g.loads.end(in.Start())
			r.permit.Cancel(r.g.clock.Now())
			r.reason = "no_repeat_left"
			break
		}
		v, status := r.attempt(in)
		switch v {
		case verdictDone:
			return status
		case verdictGone:
			return statusGone
		case verdictUnsent, verdictNotRun:
		case verdictLost, verdictFailed:
			r.doubt = r.doubt || v == verdictLost
			if !r.route.Repeatable() || r.stream.unnumbered {
				return r.giveUp()
			}
		}
		if r.sends >= r.route.Attempts {
			break
		}
	}
	return r.giveUp()
}

// giveUp ends a request whose attempts are over.
func (r *request) giveUp() int {
	if r.ctx.Err() != nil {
		return statusGone
	}
	if r.stream.begun {
		return statusBroken
	}
	if r.failure != nil {
		return r.pass(r.failure)
	}
	late := !r.g.clock.Now().Before(r.due().Add(-minSendTime))
	switch {
	case r.doubt && late:
		return r.fail(http.StatusGatewayTimeout, "late")
	case r.doubt:
		return r.fail(http.StatusBadGateway, "lost")
	}
	room, why := r.firstRoom()
	switch {
	case r.reason != "":
	case why != "":
		r.reason = why
	default:
		r.reason = "no_upstream"
	}
	return r.refuse(r.reason, r.retryAfter(room))
}

// failCrashing ends a request that ends the instances that run it. It has run, at other times if not now, and no time to come back is named:
// the answer is a failure that promises nothing.
func (r *request) failCrashing() int {
	r.g.log.Info("request that ends instances", "id", r.call.ID, "digest", r.fingerprint().String(), "account", r.account)
	if r.stream.begun {
		return statusBroken
	}
	return r.fail(http.StatusBadGateway, "ends_instances")
}

// retryAfter is when a refused caller should return; room is how long every instance is held back.
func (r *request) retryAfter(room time.Duration) time.Duration {
	now := r.g.clock.Now()
	return retry.Backoff(retry.Refusal{
		Aim:         r.route.Aim,
		Left:        r.until.Sub(now),
		Room:        room,
		Unavailable: r.g.pulse.isUnavailable(r.service.Name, now),
	}, r.g.draw)
}

// attempt sends the request to one instance and passes its answer on when it is one.
func (r *request) attempt(in core.Instance) (verdict, int) {
	defer r.g.loads.end(in.Start())
	r.tried[in.Start()] = true
	r.instance = in.ID
	ctx, cancel := context.WithDeadline(r.ctx, r.due())
	defer cancel()
	conn, err := r.g.pool.Get(ctx, targetOf(in), r.connections())
	if err != nil {
		var full *pool.FullError
		if !errors.As(err, &full) && r.ctx.Err() == nil {
			r.g.lose(in, r.g.clock.Now())
		}
		r.g.log.Debug("no connection", "id", r.call.ID, "instance", in.ID, "error", err)
		r.reason = "no_connection"
		r.permit.Cancel(r.g.clock.Now())
		return verdictUnsent, 0
	}
	if r.g.departing.Leaves(in.Start()) || r.g.rests.left(in.Start(), r.g.clock.Now()) > 0 {
		// It has said so while the connection was opened.
		conn.Discard()
		r.permit.Cancel(r.g.clock.Now())
		return verdictUnsent, 0
	}
	check.Hold(check.AtMostOnce, r.sends == 0 || r.route.Repeatable() || !r.doubt, "%s goes out again", r.call.ID)
	a := &attempt{
		r:    r,
		in:   in,
		conn: conn,
	}
	v, status := a.run()
	if v == verdictLost && a.cut {
		r.recordCut(in)
	}
	now := r.g.clock.Now()
	switch v {
	case verdictDone:
		r.judge(in, status, now)
		if status >= 200 && status < 300 {
			r.g.ends.RecordCompletion(r.fingerprint())
		}
	case verdictLost:
		if !r.stalled(now) {
			a.lose(now)
			r.g.pulse.refused(r.service.Name)
		}
	case verdictNotRun:
		if a.reply.Rest == 0 {
			// The rest speaks for itself: after it the instance has its part again.
			r.g.loads.failed(in.Start(), refusedWeight, now)
		}
		r.g.pulse.refused(r.service.Name)
	case verdictFailed:
		r.g.loads.failed(in.Start(), failureWeight, now)
	case verdictUnsent:
		r.permit.Cancel(now)
	case verdictGone:
	}
	return v, status
}

// judge notes what an answer that the caller has got says of its instance. A failure that is passed on, as the request may not be repeated, is
// one all the same.
func (r *request) judge(in core.Instance, status int, now time.Time) {
	if status >= http.StatusInternalServerError {
		r.g.loads.failed(in.Start(), failureWeight, now)
		return
	}
	r.g.loads.worked(in.Start(), now)
	r.g.answers(in)
}

// targetOf returns where connections to the present start of an instance go.
func targetOf(in core.Instance) pool.Target {
	return pool.Target{
		Address: in.Address,
		Born:    in.StartedAt,
	}
}

// connections is this entry's part of what an instance accepts from all callers.
func (r *request) connections() int {
	if r.service.MaxConnections <= 0 {
		return usualConnections
	}
	return max(fewestConnections, r.service.MaxConnections/(entries(r.snap)+connectionParts))
}
