package agent

import (
	"time"

	"geraniumpass/check"
	"geraniumpass/core"
	"geraniumpass/ledger"
	"geraniumpass/proto"
	"geraniumpass/queue"
	"geraniumpass/wire"
)

// leaveGrace is how long after it starts to leave an upstream may still be given new work.
const leaveGrace = 3 * time.Second

func (a *Agent) dispatch(key ledger.Key, d *proto.Dispatch) {
	if a.leaving.Load() && d.ClaimKey == "" {
		a.refuse(key, d.ClaimKey, core.OutcomeNotRun, core.ReasonLeaving, 0)
		return
	}
	// The run is registered before the ledger records its claim, so that a retry on another link
	// always finds it.
	r := newRun(key, d, a.clock.Now())
	fresh := a.runs.add(key, r)
	v := a.ledger.Offer(ledger.Offer{
		Key:            key,
		Incarnation:    d.Incarnation,
		Idempotent:     d.Idempotent,
		ClaimKey:       d.ClaimKey,
		ClaimDigest:    d.ClaimDigest,
		ClaimRetention: d.ClaimRetention,
	})
	if fresh && v.Action != ledger.ActionQueue {
		a.runs.remove(key)
	}
	switch v.Action {
	case ledger.ActionRefuse:
		a.refuse(key, d.ClaimKey, v.Outcome, v.Reason, 0)
	case ledger.ActionAttach:
		a.attach(key, v.Holder)
	case ledger.ActionQueue:
		// Claims are checked even while leaving: retries of work that ran here get its answer, and
		// only new work is refused.
		if a.leaving.Load() && a.ledger.Cancel(key) {
			a.runs.remove(key)
			a.refuse(key, d.ClaimKey, core.OutcomeNotRun, core.ReasonLeaving, 0)
			return
		}
		if d.Remaining <= 0 && a.ledger.Cancel(key) {
			a.runs.remove(key)
			a.refuse(key, d.ClaimKey, core.OutcomeNotRun, core.ReasonDeadline, 0)
			return
		}
		a.enqueue(r)
	}
}

// deductTransit subtracts the time a dispatch was delayed in transit from its remaining time. The
// entry counts from the send time and reports an unknown outcome to its caller once that time is
// over.
func (a *Agent) deductTransit(l *wire.Link, d *proto.Dispatch) {
	took := a.transits.delay(l, d.Sent, a.clock.Now())
	d.Remaining -= took
	d.TargetLeft -= took
}

func (a *Agent) attach(key, holder ledger.Key) {
	r := a.runs.get(holder)
	if r == nil {
		a.refuse(key, "", core.OutcomeUnknown, core.ReasonClaimHolderLost, 0)
		return
	}
	a.runs.put(key, r)
	if !r.attach(key, 0, a.sessions) {
		a.refuse(key, "", core.OutcomeUnknown, core.ReasonClaimHolderLost, 0)
	}
}

func (a *Agent) enqueue(r *run) {
	now := r.queuedAt
	d := r.dispatch
	a.schedMu.Lock()
	a.lastItemID++
	r.itemID = a.lastItemID
	a.waiting[r.itemID] = r
	shed := a.queue.Push(now, queue.Item{
		ID:            r.itemID,
		Class:         d.Class,
		Account:       d.Account,
		LatencyTarget: d.Within,
		Due:           now.Add(d.TargetLeft),
		Expires:       r.expires,
		Cost:          max(d.Cost, 1),
	}, a.capacity())
	a.schedMu.Unlock()
	a.shed(shed, core.ReasonTargetMissed)
	a.schedule()
}

// shed refuses items that the queue dropped before they ran.
func (a *Agent) shed(items []queue.Item, reason core.Reason) {
	for _, it := range items {
		a.schedMu.Lock()
		r := a.waiting[it.ID]
		delete(a.waiting, it.ID)
		wait := a.backlogTime()
		a.schedMu.Unlock()
		if r != nil && a.ledger.Cancel(r.key) {
			a.refuseRun(r, reason, wait)
		}
	}
}

func (a *Agent) refuseRun(r *run, reason core.Reason, retryAfter time.Duration) {
	keys := r.keys()
	a.runs.remove(append(keys, r.key)...)
	r.abandon()
	for _, k := range keys {
		outcome := core.OutcomeNotRun
		if k != r.key {
			// The outcome of an attached attempt depends on the claim, which a later retry may
			// still run.
			outcome = core.OutcomeUnknown
		}
		a.refuse(k, r.dispatch.ClaimKey, outcome, reason, retryAfter)
	}
}

func (a *Agent) refuse(key ledger.Key, claimKey string, outcome core.Outcome, reason core.Reason, retryAfter time.Duration) {
	if outcome == core.OutcomeNotRun {
		st, ok := a.ledger.State(key)
		check.Assert(check.NotRunNeverRan, !ok || st != ledger.StateRunning && st != ledger.StateDone, "attempt %s refused as not run in state %d", key, st)
	}
	a.sessions.send(key.Session, &proto.Frame{Refused: &proto.Refused{
		N:           key.N,
		Outcome:     outcome,
		Reason:      reason,
		RetryAfter:  retryAfter,
		ClaimClosed: a.ledger.ClaimClosed(claimKey),
	}})
}

func (a *Agent) cancel(key ledger.Key) {
	r := a.runs.get(key)
	if a.ledger.Cancel(key) {
		if r != nil {
			a.dequeue(r)
			a.runs.remove(append(r.keys(), r.key)...)
			r.abandon()
		}
		a.refuse(key, "", core.OutcomeNotRun, core.ReasonCancelled, 0)
		return
	}
	if r == nil {
		return
	}
	last := r.detach(key)
	if key != r.key || r.dispatch.ClaimKey == "" {
		a.runs.remove(key)
	}
	if !last {
		return
	}
	// A non-idempotent run continues, because a retry with the same idempotency key must get its
	// answer.
	if r.dispatch.Idempotent && !r.ended() {
		r.abandon()
		a.upstream.Cancel(r.dispatch.Request)
	}
}

func (a *Agent) dequeue(r *run) {
	a.schedMu.Lock()
	defer a.schedMu.Unlock()
	a.queue.Remove(r.itemID)
	delete(a.waiting, r.itemID)
}

func (a *Agent) resume(key ledger.Key, next uint32) {
	r := a.runs.get(key)
	if r != nil && r.attach(key, next, a.sessions) {
		return
	}
	if _, known := a.ledger.State(key); known {
		a.refuse(key, "", core.OutcomeUnknown, core.ReasonUpstreamLost, 0)
		return
	}
	// The dispatch was lost with the link. The tombstone refuses it should it still arrive.
	if a.ledger.Cancel(key) {
		a.refuse(key, "", core.OutcomeNotRun, core.ReasonStaleDispatch, 0)
	}
}

func (a *Agent) ack(key ledger.Key, next uint32) {
	r := a.runs.get(key)
	if r == nil || !r.ack(key, next) || r.dispatch.ClaimKey != "" {
		return
	}
	a.runs.remove(append(r.keys(), r.key)...)
}
