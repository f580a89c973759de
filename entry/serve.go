package entry

import (
	"errors"
	"strconv"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/samber/lo"

	"geraniumpass/check"
	"geraniumpass/core"
	"geraniumpass/proto"
	"geraniumpass/queue"
	"geraniumpass/retry"
	"geraniumpass/route"
)

const (
	maxAttempts   = 6
	retryFirst    = 5 * time.Millisecond
	retryLongest  = 200 * time.Millisecond
	overloadHops  = 2
	statusTooMany = 429
	statusBusy    = 503
)

// outcome is how one attempt ended.
type outcome uint8

const (
	// attemptWhole means that the sink has the whole answer.
	attemptWhole outcome = iota + 1
	// attemptNotRun means that the agent proved that it did not run.
	attemptNotRun
	// attemptLost means that it may have run and its answer can't be had.
	attemptLost
	// attemptEnded means that the request itself is over: deadline, or the caller is gone.
	attemptEnded
)

// attemptResult is how one attempt ended and what the caller is told if no other is made.
type attemptResult struct {
	outcome outcome
	reason  core.Reason
	after   time.Duration
	err     error
	// movable is set when the agent has closed the request's claim for good.
	movable bool
}

// serve carries a request through as many attempts as its kind, deadline and budget allow and returns nil, a *core.Refusal or a *goneError.
func (e *Entry) serve(r *request, out sink) error {
	e.budget.Earn(r.class.Name)
	if r.key != "" && !r.idempotent {
		return e.serveClaimed(r, out)
	}
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = retryFirst
	wait.MaxInterval = retryLongest
	hops := 0
	for try := 1; ; try++ {
		p, err := e.pick(r)
		if err != nil {
			if r.sent || !e.mayWait(r, try) {
				return err
			}
			e.clock.Sleep(wait.NextBackOff())
			continue
		}
		res := e.try(r, p, r.dispatch(e.clock.Now(), e.sinceStart()), out)
		switch res.outcome {
		case attemptWhole:
			return nil
		case attemptEnded:
			return res.err
		case attemptLost:
			r.sent = true
			if !r.idempotent || !out.Reset() && !r.resumable() {
				return core.Unknown(res.reason, "the upstream was lost while the request may have been running")
			}
		case attemptNotRun:
			if overloaded(res.reason) {
				hops++
			}
		}
		e.log.Debug("attempt failed", "request", r.id, "agent", p.id, "reason", res.reason, "delivered", r.delivered)
		r.tried[p.id] = true
		if hops > overloadHops || try >= maxAttempts || !e.budget.Spend(r.class.Name) {
			return e.giveUp(r, res)
		}
		e.clock.Sleep(wait.NextBackOff())
	}
}

func overloaded(reason core.Reason) bool {
	return reason == core.ReasonTargetMissed || reason == core.ReasonOverload
}

// mayWait allows a request that was sent nowhere to wait a little for an upstream to come back.
func (e *Entry) mayWait(r *request, try int) bool {
	return try < maxAttempts && e.clock.Now().Before(r.due()) && e.clock.Now().Before(r.deadline) && !e.stopping.Load()
}

func (e *Entry) giveUp(r *request, res attemptResult) error {
	refusal := r.refusal(res.reason, "no upstream took the request")
	refusal.RetryAfter = retry.After(res.after, random())
	return refusal
}

// pick chooses an agent, or refuses the request when its target would be missed anyway.
func (e *Entry) pick(r *request) (*peer, error) {
	doc := e.config.Document()
	drained := lo.SliceToMap(doc.Drained, func(id string) (string, bool) { return id, true })
	withins := make(map[string]time.Duration, len(doc.Classes))
	for _, c := range doc.Classes {
		withins[c.Name] = c.Target.Within.Duration
	}
	usable := lo.Filter(e.peers.of(r.service), func(p *peer, _ int) bool { return p.usable(drained) })
	fresh := lo.Reject(usable, func(p *peer, _ int) bool { return r.tried[p.id] })
	if len(fresh) > 0 {
		usable = fresh
	}
	candidates := make([]route.Candidate, 0, len(usable))
	for _, p := range usable {
		candidates = append(candidates, p.candidate(withins))
	}
	picker := route.Picker{
		Domain: e.cfg.Domain,
		Random: random(),
	}
	choice, ok := picker.Pick(candidates, route.Request{
		LatencyTarget: r.class.Target.Within.Duration,
		Prefix:        r.prefix,
	})
	if !ok {
		refusal := r.refusal(core.ReasonNoUpstream, "no upstream of service "+r.service+" can be reached")
		refusal.RetryAfter = retry.After(0, random())
		return nil, refusal
	}
	if !r.sent && len(r.tried) == 0 && choice.Wait > time.Duration(float64(r.due().Sub(e.clock.Now()))*queue.Headroom) {
		refusal := core.NotRun(core.ReasonTargetMissed, "the class's target would be missed")
		refusal.RetryAfter = retry.After(choice.Wait, random())
		return nil, refusal
	}
	return usable[choice.Index], nil
}

// try makes one attempt at an agent and follows it to its end.
func (e *Entry) try(r *request, p *peer, d *proto.Dispatch, out sink) attemptResult {
	a := p.send(d)
	if a == nil {
		return attemptResult{
			outcome: attemptNotRun,
			reason:  core.ReasonNoUpstream,
		}
	}
	r.domain = p.domain
	res := e.follow(r, a, out)
	p.close(a, res.outcome != attemptWhole && res.outcome != attemptNotRun)
	return res
}

// follow waits for an attempt's parts and hands them to the sink until it ends.
func (e *Entry) follow(r *request, a *attempt, out sink) attemptResult {
	timer := e.clock.NewTimer(r.deadline.Sub(e.clock.Now()))
	defer timer.Stop()
	for {
		select {
		case <-a.wake:
		case <-timer.Chan():
			return attemptResult{
				outcome: attemptEnded,
				err:     core.Unknown(core.ReasonDeadline, "the deadline passed while the request was with an upstream"),
			}
		}
		got := a.take()
		for _, p := range got.parts {
			if res, ended := e.part(r, a, p, out); ended {
				return res
			}
		}
		if got.ack > 0 {
			a.peer.ack(a, got.ack)
		}
		if got.refused != nil {
			return refused(got.refused)
		}
		if got.lost {
			return attemptResult{
				outcome: attemptLost,
				reason:  core.ReasonUpstreamLost,
			}
		}
	}
}

func refused(f *proto.Refused) attemptResult {
	res := attemptResult{
		outcome: attemptNotRun,
		reason:  f.Reason,
		after:   f.RetryAfter,
		movable: f.ClaimClosed,
	}
	if f.Outcome != core.OutcomeNotRun {
		res.outcome = attemptLost
	}
	return res
}

// part hands one part on and says how the attempt ended, if it did.
func (e *Entry) part(r *request, a *attempt, p *proto.Answer, out sink) (attemptResult, bool) {
	if p.Failed != "" {
		return attemptResult{
			outcome: attemptLost,
			reason:  p.Failed,
		}, true
	}
	if r.answered.IsZero() && (len(p.Data) > 0 || p.Last) {
		r.answered = e.clock.Now()
	}
	if err := e.deliver(r, p, out); err != nil {
		return ended(err), true
	}
	if !p.Last {
		return attemptResult{}, false
	}
	check.Hold(check.WholeAnswer, a.wholeWith(p), "request %s ends at part %d of an answer that is not whole", r.id, p.Seq)
	a.peer.ack(a, p.Seq+1)
	return attemptResult{outcome: attemptWhole}, true
}

func ended(err error) attemptResult {
	var busy *busyError
	if errors.As(err, &busy) {
		return attemptResult{
			outcome: attemptLost,
			reason:  core.ReasonUpstreamRefused,
		}
	}
	return attemptResult{
		outcome: attemptEnded,
		err:     err,
	}
}

// busyError is an upstream's answer that it is overloaded, which a repeat elsewhere may better.
type busyError struct{}

// Error says that the upstream is overloaded.
func (*busyError) Error() string {
	return "upstream is overloaded"
}

func (e *Entry) deliver(r *request, p *proto.Answer, out sink) error {
	if p.Status != 0 {
		if (p.Status == statusBusy || p.Status == statusTooMany) && r.idempotent && len(r.tried) == 0 {
			return &busyError{}
		}
		if r.headSent && r.stream {
			return resumedHead(r, p)
		}
		r.headSent = true
		r.status = p.Status
		r.events = isEvents(p.Headers)
		return out.Head(p.Status, p.Headers)
	}
	if len(p.Data) == 0 {
		return nil
	}
	if r.stream && !p.Last {
		r.delivered++
	}
	return out.Data(p.Data)
}

// resumedHead refuses all that isn't the rest of the stream that the caller has begun to read: an upstream's error, another body, and an
// upstream that doesn't say that it goes on where the last one broke off and would begin anew.
func resumedHead(r *request, p *proto.Answer) error {
	goesOn := r.delivered == 0 || headerOf(p.Headers, headerResume) == strconv.FormatUint(uint64(r.delivered), 10)
	if !r.events || p.Status != r.status || !isEvents(p.Headers) || !goesOn {
		return &busyError{}
	}
	return nil
}

func (a *attempt) wholeWith(p *proto.Answer) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.asm.Whole() && a.asm.Next() == p.Seq+1
}
