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
	maxAttempts           = 6
	minRetryBackoff       = 5 * time.Millisecond
	maxRetryBackoff       = 200 * time.Millisecond
	maxOverloadRetries    = 2
	statusTooManyRequests = 429
	statusUnavailable     = 503
)

// outcome is the result of one attempt.
type outcome uint8

const (
	// attemptComplete means that the sink received the complete answer.
	attemptComplete outcome = iota + 1
	// attemptNotRun means that the request provably did not run.
	attemptNotRun
	// attemptLost means that the request may have run and its answer is unavailable.
	attemptLost
	// attemptTerminal means that the request ended: its deadline passed or the caller disconnected.
	attemptTerminal
)

// attemptResult is the result of one attempt, with the details for a refusal if there is no retry.
type attemptResult struct {
	outcome    outcome
	reason     core.Reason
	retryAfter time.Duration
	err        error
	// claimClosed is set if the agent closed the request's claim permanently.
	claimClosed bool
}

// serve makes attempts as idempotency, deadline and retry budget permit; it returns nil, a
// *core.Refusal or a *callerGoneError.
func (e *Entry) serve(r *request, out sink) error {
	e.retryBudget.Earn(r.class.Name)
	if r.key != "" && !r.idempotent {
		return e.serveClaimed(r, out)
	}
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = minRetryBackoff
	wait.MaxInterval = maxRetryBackoff
	overloadRetries := 0
	for try := 1; ; try++ {
		p, err := e.pick(r)
		if err != nil {
			if r.mayHaveRun || !e.canWaitForUpstream(r, try) {
				return err
			}
			e.clock.Sleep(wait.NextBackOff())
			continue
		}
		res := e.try(r, p, r.dispatch(e.clock.Now(), e.sinceStart()), out)
		switch res.outcome {
		case attemptComplete:
			return nil
		case attemptTerminal:
			return res.err
		case attemptLost:
			r.mayHaveRun = true
			if !r.idempotent || !out.Reset() && !r.resumable() {
				return core.Unknown(res.reason, "the upstream was lost while the request may have been running")
			}
		case attemptNotRun:
			if overloaded(res.reason) {
				overloadRetries++
			}
		}
		e.log.Debug("attempt failed", "request", r.id, "agent", p.id, "reason", res.reason, "delivered", r.delivered)
		r.tried[p.id] = true
		if overloadRetries > maxOverloadRetries || try >= maxAttempts || !e.retryBudget.Spend(r.class.Name) {
			return e.exhausted(r, res)
		}
		e.clock.Sleep(wait.NextBackOff())
	}
}

func overloaded(reason core.Reason) bool {
	return reason == core.ReasonTargetMissed || reason == core.ReasonOverload
}

// canWaitForUpstream reports whether a request that has not been dispatched may wait for an
// upstream to become available.
func (e *Entry) canWaitForUpstream(r *request, try int) bool {
	return try < maxAttempts && e.clock.Now().Before(r.targetDeadline()) && e.clock.Now().Before(r.deadline) && !e.stopping.Load()
}

func (e *Entry) exhausted(r *request, res attemptResult) error {
	refusal := r.refusal(res.reason, "no upstream took the request")
	refusal.RetryAfter = retry.After(res.retryAfter, newRand())
	return refusal
}

// pick selects an agent, or refuses the request if its target would be missed.
func (e *Entry) pick(r *request) (*peer, error) {
	doc := e.config.Document()
	drained := lo.SliceToMap(doc.Drained, func(id string) (string, bool) { return id, true })
	targets := make(map[string]time.Duration, len(doc.Classes))
	for _, c := range doc.Classes {
		targets[c.Name] = c.Target.Within.Duration
	}
	usable := lo.Filter(e.peers.forService(r.service), func(p *peer, _ int) bool { return p.usable(drained) })
	untried := lo.Reject(usable, func(p *peer, _ int) bool { return r.tried[p.id] })
	if len(untried) > 0 {
		usable = untried
	}
	candidates := make([]route.Candidate, 0, len(usable))
	for _, p := range usable {
		candidates = append(candidates, p.candidate(targets))
	}
	picker := route.Picker{
		Domain: e.cfg.Domain,
		Random: newRand(),
	}
	choice, ok := picker.Pick(candidates, route.Request{
		LatencyTarget: r.class.Target.Within.Duration,
		Prefix:        r.prefixHash,
	})
	if !ok {
		refusal := r.refusal(core.ReasonNoUpstream, "no upstream of service "+r.service+" can be reached")
		refusal.RetryAfter = retry.After(0, newRand())
		return nil, refusal
	}
	if !r.mayHaveRun && len(r.tried) == 0 && choice.Wait > time.Duration(float64(r.targetDeadline().Sub(e.clock.Now()))*queue.Headroom) {
		refusal := core.NotRun(core.ReasonTargetMissed, "the class's target would be missed")
		refusal.RetryAfter = retry.After(choice.Wait, newRand())
		return nil, refusal
	}
	return usable[choice.Index], nil
}

// try makes one attempt at an agent and waits for its result.
func (e *Entry) try(r *request, p *peer, d *proto.Dispatch, out sink) attemptResult {
	a := p.dispatch(d)
	if a == nil {
		return attemptResult{
			outcome: attemptNotRun,
			reason:  core.ReasonNoUpstream,
		}
	}
	r.domain = p.domain
	res := e.awaitAnswer(r, a, out)
	p.closeAttempt(a, res.outcome != attemptComplete && res.outcome != attemptNotRun)
	return res
}

// awaitAnswer passes the parts of an attempt to the sink until the attempt ends or the request's
// deadline passes.
func (e *Entry) awaitAnswer(r *request, a *attempt, out sink) attemptResult {
	timer := e.clock.NewTimer(r.deadline.Sub(e.clock.Now()))
	defer timer.Stop()
	for {
		select {
		case <-a.wake:
		case <-timer.Chan():
			return attemptResult{
				outcome: attemptTerminal,
				err:     core.Unknown(core.ReasonDeadline, "the deadline passed while the request was with an upstream"),
			}
		}
		got := a.collect()
		for _, p := range got.parts {
			if res, ended := e.handlePart(r, a, p, out); ended {
				return res
			}
		}
		if got.ack > 0 {
			a.peer.ack(a, got.ack)
		}
		if got.refused != nil {
			return refusedResult(got.refused)
		}
		if got.lost {
			return attemptResult{
				outcome: attemptLost,
				reason:  core.ReasonUpstreamLost,
			}
		}
	}
}

func refusedResult(f *proto.Refused) attemptResult {
	res := attemptResult{
		outcome:     attemptNotRun,
		reason:      f.Reason,
		retryAfter:  f.RetryAfter,
		claimClosed: f.ClaimClosed,
	}
	if f.Outcome != core.OutcomeNotRun {
		res.outcome = attemptLost
	}
	return res
}

// handlePart delivers one part and returns the attempt's result and true if it ends the attempt.
func (e *Entry) handlePart(r *request, a *attempt, p *proto.Answer, out sink) (attemptResult, bool) {
	if p.Failed != "" {
		return attemptResult{
			outcome: attemptLost,
			reason:  p.Failed,
		}, true
	}
	if r.firstDataAt.IsZero() && (len(p.Data) > 0 || p.Last) {
		r.firstDataAt = e.clock.Now()
	}
	if err := e.deliver(r, p, out); err != nil {
		return errorResult(err), true
	}
	if !p.Last {
		return attemptResult{}, false
	}
	check.Assert(check.CompleteAnswer, a.completeWith(p), "request %s completed at part %d with an incomplete answer", r.id, p.Seq)
	a.peer.ack(a, p.Seq+1)
	return attemptResult{outcome: attemptComplete}, true
}

func errorResult(err error) attemptResult {
	var busy *overloadedError
	if errors.As(err, &busy) {
		return attemptResult{
			outcome: attemptLost,
			reason:  core.ReasonUpstreamRefused,
		}
	}
	return attemptResult{
		outcome: attemptTerminal,
		err:     err,
	}
}

// overloadedError indicates that the upstream reported overload, so that a retry at another one may
// succeed.
type overloadedError struct{}

// Error implements error.
func (*overloadedError) Error() string {
	return "upstream is overloaded"
}

func (e *Entry) deliver(r *request, p *proto.Answer, out sink) error {
	if p.Status != 0 {
		if (p.Status == statusUnavailable || p.Status == statusTooManyRequests) && r.idempotent && len(r.tried) == 0 {
			return &overloadedError{}
		}
		if r.headSent && r.stream {
			return checkResumedHead(r, p)
		}
		r.headSent = true
		r.status = p.Status
		r.isEventStream = isEvents(p.Headers)
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

// checkResumedHead rejects any head that does not continue the event stream the caller is reading:
// a different status, another content type, or a resume position other than the number of events
// delivered. Without a position the upstream would restart the stream from the beginning.
func checkResumedHead(r *request, p *proto.Answer) error {
	resumes := r.delivered == 0 || headerOf(p.Headers, headerResume) == strconv.FormatUint(uint64(r.delivered), 10)
	if !r.isEventStream || p.Status != r.status || !isEvents(p.Headers) || !resumes {
		return &overloadedError{}
	}
	return nil
}

func (a *attempt) completeWith(p *proto.Answer) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.asm.Complete() && a.asm.Next() == p.Seq+1
}
