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
	// minAttemptTime is the remaining time below which another attempt can't be answered.
	minAttemptTime = 30 * time.Millisecond
	// extraConnectionShares is added to the number of known entries when an instance's connections
	// are divided, as a reserve for entries that join or leave.
	extraConnectionShares = 2
	// minConnections is the number of connections that an entry may always open to an instance.
	minConnections = 3
	// defaultConnections limits the connections to an instance whose service sets no limit.
	defaultConnections = 64
	// failureWeight, lostWeight and refusedWeight are added to an instance's failure score for a
	// failed answer, a lost request and a refusal.
	failureWeight = 0.3
	lostWeight    = 1.0
	refusedWeight = 0.7
)

// verdict is the result of an attempt.
type verdict uint8

const (
	// verdictDone means that the caller has its answer.
	verdictDone verdict = iota
	// verdictNotSent means that no byte reached an upstream.
	verdictNotSent
	// verdictNotExecuted means that the upstream guarantees that it did not run the request.
	verdictNotExecuted
	// verdictLost means that the request may have run.
	verdictLost
	// verdictFailed means that a complete answer reported a failure.
	verdictFailed
	// verdictBrokenOff means that the caller has the beginning of an answer that nothing can complete.
	verdictBrokenOff
	// verdictRelocated means that the request left the instance, which has not failed.
	verdictRelocated
	// verdictCallerGone means that the caller disconnected.
	verdictCallerGone
)

// tryUpstreams sends the request to upstreams until it is answered or given up, and returns the
// status sent to the caller.
func (r *request) tryUpstreams() (status int) {
	defer func() { r.recordRelocated(status) }()
	now := r.g.clock.Now()
	r.g.retryBudget.RecordRequest(now, r.service.Name)
	// Failed dials don't count as sends, but their number is limited as well.
	for tries := 0; tries <= r.route.Attempts+2; tries++ {
		if r.ctx.Err() != nil {
			return statusCallerGone
		}
		if r.nextDeadline().Sub(r.g.clock.Now()) < minAttemptTime {
			break
		}
		if reason := r.crashReason(); reason != "" {
			return r.failCrashing(reason)
		}
		if !r.mayHaveRun && r.outlastsProcess() {
			r.reason = reasonStopping
			break
		}
		in, ok := r.pick()
		if !ok {
			break
		}
		if r.sends > 0 && !r.takeRetry() {
			r.g.loads.end(in.Start())
			r.permit.Cancel(r.g.clock.Now())
			r.reason = "no_repeat_left"
			break
		}
		v, status := r.attempt(in)
		switch v {
		case verdictDone:
			return status
		case verdictCallerGone:
			return statusCallerGone
		case verdictBrokenOff:
			return statusAborted
		case verdictNotSent, verdictNotExecuted:
		case verdictRelocated:
			r.mayHaveRun = true
		case verdictLost, verdictFailed:
			r.mayHaveRun = r.mayHaveRun || v == verdictLost || r.failedAnswer == nil
			if !r.route.Repeatable() || r.stream.hasUnnumbered {
				return r.giveUp()
			}
		}
		if r.sends >= r.route.Attempts {
			break
		}
	}
	return r.giveUp()
}

// giveUp ends a request that gets no further attempt.
func (r *request) giveUp() int {
	if r.ctx.Err() != nil {
		return statusCallerGone
	}
	if r.stream.started {
		return statusAborted
	}
	if r.failedAnswer != nil {
		return r.sendAnswer(r.failedAnswer)
	}
	late := !r.g.clock.Now().Before(r.nextDeadline().Add(-minAttemptTime))
	switch {
	case r.mayHaveRun && late:
		return r.fail(http.StatusGatewayTimeout, "late")
	case r.mayHaveRun:
		return r.fail(http.StatusBadGateway, "lost")
	}
	wait, why := r.nextAvailable()
	switch {
	case r.reason != "":
	case why != "":
		r.reason = why
	default:
		r.reason = "no_upstream"
	}
	return r.reject(r.reason, r.retryAfter(wait))
}

// failCrashing rejects a request that crashes the instances that run it. An earlier send of it may have
// run, if not one of this attempt, so the answer must not say that it was not executed, and it
// carries no Retry-After.
func (r *request) failCrashing(reason string) int {
	r.g.log.Info("request not sent because instances terminate when they run it", "id", r.call.ID, "digest", r.contentDigest().String(), "account", r.account)
	if r.stream.started {
		return statusAborted
	}
	return r.fail(http.StatusBadGateway, reason)
}

// retryAfter returns the Retry-After of a rejected caller; wait is how long every instance stays
// blocked.
func (r *request) retryAfter(wait time.Duration) time.Duration {
	now := r.g.clock.Now()
	return retry.Backoff(retry.Rejection{
		TargetLatency: r.route.Aim,
		Remaining:     r.deadline.Sub(now),
		AvailableIn:   wait,
		Unavailable:   r.closed || r.areGroupsDown() || r.g.health.isUnavailable(r.service.Name, now),
	}, r.g.randomIntN)
}

// attempt sends the request to one instance and forwards its answer if it is final.
func (r *request) attempt(in core.Instance) (verdict, int) {
	defer r.g.loads.end(in.Start())
	r.tried[in.Start()] = true
	r.lastInstance = in.ID
	ctx, cancel := context.WithDeadline(r.ctx, r.nextDeadline())
	defer cancel()
	defer r.onExpiry(cancel)()
	conn, err := r.g.pool.Get(ctx, targetOf(in), r.maxConnections())
	if err != nil {
		var full *pool.FullError
		if !errors.As(err, &full) && r.ctx.Err() == nil {
			r.g.recordLoss(in, r.g.clock.Now())
		}
		r.g.log.Debug("no connection to instance", "id", r.call.ID, "instance", in.ID, "error", err)
		r.reason = "no_connection"
		r.permit.Cancel(r.g.clock.Now())
		return verdictNotSent, 0
	}
	if !r.mayHaveRun {
		r.admittedAt = r.g.clock.Now()
	}
	if r.isBarred(in) {
		conn.Discard()
		r.permit.Cancel(r.g.clock.Now())
		return verdictNotSent, 0
	}
	check.Assert(check.AtMostOnce, r.sends == 0 || r.route.Repeatable() || !r.mayHaveRun, "request %s sent again although it may have run", r.call.ID)
	a := &attempt{
		r:          r,
		instance:   in,
		conn:       conn,
		admittedAt: r.admittedAt,
	}
	v, status := a.run()
	if (v == verdictLost || v == verdictBrokenOff) && a.disconnected {
		r.recordDisconnect(a)
	}
	now := r.g.clock.Now()
	switch v {
	case verdictDone:
		r.recordAnswer(in, status, now)
		if status >= 200 && status < 300 {
			r.g.crashes.RecordCompletion(r.contentDigest())
			if a.deliveries == 0 {
				r.g.crashes.RecordBegin(r.segmentDigests(), a.sentAt)
			}
			if !a.isProgressing() {
				r.g.crashes.RecordProgress(r.segmentDigests(), a.sentAt)
			}
		}
	case verdictLost, verdictBrokenOff:
		if !r.isServiceStalled(now) {
			a.recordLoss(now)
			r.g.health.recordRefusal(r.service.Name)
		}
	case verdictNotExecuted:
		if a.reply.Cooldown == 0 {
			// A cooldown needs no failure weight: once it is over, the instance gets its full share
			// again.
			r.g.loads.recordFailure(in.Start(), refusedWeight, now)
		}
		r.g.health.recordRefusal(r.service.Name)
	case verdictFailed:
		r.g.loads.recordFailure(in.Start(), failureWeight, now)
	case verdictNotSent:
		r.permit.Cancel(now)
	case verdictRelocated, verdictCallerGone:
	}
	return v, status
}

// isBarred reports whether, since an instance was picked, it has announced that it leaves or requested a
// cooldown, its failure domain was evacuated, or this process has begun to stop and ends too soon.
func (r *request) isBarred(in core.Instance) bool {
	return r.g.leavingInstances.IsLeaving(in.Start()) ||
		r.g.view.Now().IsEvacuated(in) ||
		r.g.cooldowns.remaining(in.Start(), r.g.clock.Now()) > 0 ||
		!r.mayHaveRun && r.outlastsProcess()
}

// recordAnswer records the answer forwarded to the caller in the instance's failure score. A
// failure that is forwarded because the request must not be retried counts as well.
func (r *request) recordAnswer(in core.Instance, status int, now time.Time) {
	if status >= http.StatusInternalServerError {
		r.g.loads.recordFailure(in.Start(), failureWeight, now)
		return
	}
	r.g.loads.recordSuccess(in.Start(), now)
	r.g.recordAnswer(in)
}

// targetOf returns the connection target of an instance's current incarnation.
func targetOf(in core.Instance) pool.Target {
	return pool.Target{
		Address:   in.Address,
		StartedAt: in.StartedAt,
	}
}

// maxConnections returns this entry's share of the connections that an instance accepts.
func (r *request) maxConnections() int {
	if r.service.MaxConnections <= 0 {
		return defaultConnections
	}
	return max(minConnections, r.service.MaxConnections/(entryCount(r.snap)+extraConnectionShares))
}
