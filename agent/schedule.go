package agent

import (
	"errors"
	"time"

	"geraniumpass/check"
	"geraniumpass/core"
	"geraniumpass/proto"
	"geraniumpass/queue"
)

// schedule starts as many waiting attempts as the limit allows.
func (a *Agent) schedule() {
	for {
		r := a.next()
		if r == nil {
			return
		}
		if !a.ledger.Start(r.key) {
			a.runs.remove(append(r.keys(), r.key)...)
			a.done(r, false)
			continue
		}
		if at := a.leftAt.Load(); at != 0 {
			since := a.clock.Now().Sub(time.Unix(0, at))
			check.Assert(check.LeavingGetsNoWork, since < leaveGrace, "attempt %s starts %s after leaving", r.key, since)
		}
		a.inFlight.Add(1)
		go a.execute(r)
	}
}

func (a *Agent) next() *run {
	a.sched.Lock()
	defer a.sched.Unlock()
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

func (a *Agent) done(r *run, observe bool) {
	a.sched.Lock()
	defer a.sched.Unlock()
	a.running--
	a.runningCost -= max(r.dispatch.Cost, 1)
	if observe {
		now := a.clock.Now()
		a.limiter.Observe(now, max(r.dispatch.Cost, 1), now.Sub(r.startedAt), a.queue.Len() > 0)
	}
}

func (a *Agent) execute(r *run) {
	defer a.inFlight.Done()
	r.start(a.clock.Now())
	a.log.Debug("attempt starts", "request", r.dispatch.Request, "attempt", r.key.String())
	err := a.upstream.Do(r.dispatch, r.expires, func(p *proto.Answer) error {
		if !r.append(p, a.sessions, a.clock.Now()) {
			return &givenUpError{}
		}
		return nil
	})
	if r.wasStuck() {
		a.stuck.Add(-1)
	}
	a.finish(r, err)
	a.done(r, err == nil)
	a.schedule()
}

func (a *Agent) finish(r *run, err error) {
	var unsent *UnsentError
	if errors.As(err, &unsent) {
		a.ledger.Unsent(r.key)
		a.refuseRun(r, core.ReasonUpstreamLost, 0)
		return
	}
	a.ledger.Finish(r.key)
	var given *givenUpError
	if errors.As(err, &given) {
		return
	}
	if err != nil {
		a.log.Warn("upstream lost", "request", r.dispatch.Request, "error", err)
		r.append(lostPart(), a.sessions, a.clock.Now())
	}
}

// givenUpError ends the reading of an answer that nobody wants any more.
type givenUpError struct{}

// Error says that the attempt was given up.
func (*givenUpError) Error() string {
	return "attempt was given up"
}

func (a *Agent) expireQueue() {
	a.sched.Lock()
	gone := a.queue.Expire(a.clock.Now())
	a.sched.Unlock()
	a.shed(gone, core.ReasonDeadline)
}

// abandon gives up idempotent attempts that their entry has closed, or whose entry has been gone for long.
func (a *Agent) abandon() {
	now := a.clock.Now()
	a.runs.each(func(r *run) {
		for _, k := range r.keys() {
			if a.sessions.settled(k) {
				a.cancel(k)
			}
		}
		if !r.unread(now, a.sessions) || r.dispatch.ClaimKey != "" {
			return
		}
		a.runs.remove(append(r.keys(), r.key)...)
		if r.dispatch.Idempotent && !r.ended() {
			r.giveUp()
			a.upstream.Cancel(r.dispatch.Request)
		}
	})
}

// capacity is what the upstream can take now; the caller holds sched.
func (a *Agent) capacity() queue.Capacity {
	return queue.Capacity{
		Running:   a.running,
		Limit:     a.limiter.Limit(),
		Cost:      a.runningCost,
		DrainRate: a.limiter.DrainRate(),
	}
}

// backlogTime is how long the queue takes to drain; the caller holds sched.
func (a *Agent) backlogTime() time.Duration {
	drain := a.limiter.DrainRate()
	if drain <= 0 {
		return 0
	}
	return time.Duration(a.queue.Cost() / drain * float64(time.Second))
}
