package agent

import (
	"errors"
	"time"

	"geraniumpass/check"
	"geraniumpass/core"
	"geraniumpass/proto"
	"geraniumpass/queue"
)

// schedule starts as many queued attempts as the concurrency limit allows.
func (a *Agent) schedule() {
	for {
		r := a.popNext()
		if r == nil {
			return
		}
		if !a.ledger.Start(r.key) {
			a.runs.remove(append(r.keys(), r.key)...)
			a.releaseSlot(r, false)
			continue
		}
		if at := a.leavingSince.Load(); at != 0 {
			since := a.clock.Now().Sub(time.Unix(0, at))
			check.Assert(check.LeavingGetsNoWork, since < leaveGrace, "attempt %s started %s after the agent began to leave", r.key, since)
		}
		a.inFlight.Add(1)
		go a.execute(r)
	}
}

func (a *Agent) popNext() *run {
	a.schedMu.Lock()
	defer a.schedMu.Unlock()
	it, ok := a.queue.Pop(a.clock.Now(), a.capacity())
	if !ok {
		return nil
	}
	r := a.waiting[it.ID]
	delete(a.waiting, it.ID)
	if r != nil {
		a.running++
		a.runningCost += max(r.dispatch.Cost, 1)
	}
	return r
}

func (a *Agent) releaseSlot(r *run, observe bool) {
	a.schedMu.Lock()
	defer a.schedMu.Unlock()
	a.running--
	a.runningCost -= max(r.dispatch.Cost, 1)
	if observe {
		now := a.clock.Now()
		a.limiter.Observe(now, max(r.dispatch.Cost, 1), now.Sub(r.startedAt), a.queue.Len() > 0)
	}
}

func (a *Agent) execute(r *run) {
	defer a.inFlight.Done()
	r.markStarted(a.clock.Now())
	a.log.Debug("attempt started", "request", r.dispatch.Request, "attempt", r.key.String())
	err := a.upstream.Do(r.dispatch, r.expires, func(p *proto.Answer) error {
		if !r.append(p, a.sessions, a.clock.Now()) {
			return &abandonedError{}
		}
		return nil
	})
	if r.isStalled() {
		a.stalledAttempts.Add(-1)
	}
	a.finish(r, err)
	a.releaseSlot(r, err == nil)
	a.schedule()
}

func (a *Agent) finish(r *run, err error) {
	var unsent *UnsentError
	if errors.As(err, &unsent) {
		a.ledger.MarkUnsent(r.key)
		a.refuseRun(r, core.ReasonUpstreamLost, 0)
		return
	}
	a.ledger.Finish(r.key)
	var abandoned *abandonedError
	if errors.As(err, &abandoned) {
		return
	}
	if err != nil {
		a.log.Warn("upstream lost before the answer was complete", "request", r.dispatch.Request, "error", err)
		r.append(lostPart(), a.sessions, a.clock.Now())
	}
}

// abandonedError stops reading an answer that no longer has a reader.
type abandonedError struct{}

// Error states that the attempt was abandoned.
func (*abandonedError) Error() string {
	return "attempt abandoned"
}

func (a *Agent) expireQueue() {
	a.schedMu.Lock()
	expired := a.queue.Expire(a.clock.Now())
	a.schedMu.Unlock()
	a.shed(expired, core.ReasonDeadline)
}

// abandonOrphans cancels attempts that their entry has closed and drops runs orphaned for longer than
// orphanTimeout. Runs with a claim are kept, since a retry may still request their answer. Only
// idempotent requests are cancelled at the upstream.
func (a *Agent) abandonOrphans() {
	now := a.clock.Now()
	a.runs.each(func(r *run) {
		for _, k := range r.keys() {
			if a.sessions.belowFloor(k) {
				a.cancel(k)
			}
		}
		if !r.orphaned(now, a.sessions) || r.dispatch.ClaimKey != "" {
			return
		}
		a.runs.remove(append(r.keys(), r.key)...)
		if r.dispatch.Idempotent && !r.ended() {
			r.abandon()
			a.upstream.Cancel(r.dispatch.Request)
		}
	})
}

// capacity returns the upstream's current capacity. The caller holds schedMu.
func (a *Agent) capacity() queue.Capacity {
	return queue.Capacity{
		Running:   a.running,
		Limit:     a.limiter.Limit(),
		Cost:      a.runningCost,
		DrainRate: a.limiter.DrainRate(),
	}
}

// backlogTime estimates how long the queue takes to drain. The caller holds schedMu.
func (a *Agent) backlogTime() time.Duration {
	drain := a.limiter.DrainRate()
	if drain <= 0 {
		return 0
	}
	return time.Duration(a.queue.Cost() / drain * float64(time.Second))
}
