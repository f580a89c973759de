package group

import (
	"context"

	"geraniumpass/proto"
	"geraniumpass/retry"
	"geraniumpass/shift"
	"geraniumpass/wire"
)

// handleOrder records that the leader is alive and starts the execution of its order.
func (a *Agent) handleOrder(l *wire.Link, o *proto.GroupOrder) {
	order := shift.Order{
		Fence:   o.Fence,
		Op:      shift.Op(o.Op),
		Epoch:   o.Epoch,
		Version: o.Version,
		Step:    o.Step,
		Ahead:   o.MinAhead,
	}
	a.mu.Lock()
	if o.Group != a.report.Group {
		// Leaders of other groups dial this agent as well while they search for their ranks.
		f := a.stateFrame(a.report)
		a.mu.Unlock()
		_ = l.Send(&proto.Frame{RankState: f})
		return
	}
	if o.Fence < a.fence {
		// A leader that was suspended must learn from any message that it was replaced; otherwise
		// it would wait for this rank forever.
		f := a.stateFrame(a.report)
		a.mu.Unlock()
		f.Seq, f.Refused = o.Seq, true
		_ = l.Send(&proto.Frame{RankState: f})
		return
	}
	a.fence = o.Fence
	a.leader = l
	a.leaderSeenAt = a.Clock.Now()
	busy := a.inFlight[order]
	if busy || order.Op == 0 || a.left {
		a.mu.Unlock()
		return
	}
	var layout [][][]int
	if order.Op == shift.OpPrepare {
		var ok bool
		if layout, ok = a.mapCache.resolve(o); !ok {
			f := a.stateFrame(a.report)
			a.mu.Unlock()
			f.Seq, f.NeedsFullMap = o.Seq, true
			a.Log.Info("cannot build map: base is unknown or change is invalid", "version", o.Version, "base", o.BaseVersion)
			_ = l.Send(&proto.Frame{RankState: f})
			return
		}
	}
	a.inFlight[order] = true
	a.mu.Unlock()
	go func() {
		a.answerOrder(l, o.Seq, order, layout)
		a.mu.Lock()
		delete(a.inFlight, order)
		a.mu.Unlock()
	}()
}

// answerOrder executes an order and sends the result to its leader.
func (a *Agent) answerOrder(l *wire.Link, seq uint64, o shift.Order, layout [][][]int) {
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	verdict, rep := a.completeOrder(ctx, o, layout)
	if verdict == shift.VerdictNotReady {
		return
	}
	f := a.stateFrame(rep)
	a.mu.Lock()
	// The leader goes by this state from now on, which may differ from the one it had.
	a.sent = sentState{}
	a.mu.Unlock()
	f.Seq = seq
	f.OK = verdict == shift.VerdictDone
	f.Refused = verdict == shift.VerdictRefused
	if o.Op == shift.OpAsk {
		version, lists, err := a.Engine.Lists(ctx)
		if err != nil {
			return
		}
		f.ExpertListsVersion, f.ExpertLists = version, lists
	}
	a.Log.Info("order", "op", o.Op.String(), "fence", o.Fence, "version", o.Version, "step", o.Step, "epoch", o.Epoch,
		"ok", f.OK, "refused", f.Refused, "at", rep.Step, "map", rep.Map, "held", rep.Held, "armed", rep.Armed)
	_ = l.Send(&proto.Frame{RankState: f})
}

// completeOrder retries an order until the engine is in the requested state or the guard rejects
// it. It returns VerdictNotReady if ctx ends first.
func (a *Agent) completeOrder(ctx context.Context, o shift.Order, layout [][][]int) (shift.Verdict, Report) {
	refused := 0
	for ctx.Err() == nil {
		verdict, rep, sent := a.tryOrder(ctx, o, layout)
		switch {
		case verdict == shift.VerdictForward && !sent:
			if refused++; refused >= maxRefusals {
				return shift.VerdictMismatch, rep
			}
		case verdict == shift.VerdictDone, verdict == shift.VerdictRefused, verdict == shift.VerdictMismatch:
			return verdict, rep
		}
		if !sent {
			retry.Sleep(ctx, orderPollInterval)
		}
	}
	return shift.VerdictNotReady, Report{}
}

// tryOrder reads the engine's state, lets the guard evaluate the order and forwards it. sent is
// false if the engine refused the order or it was not sent.
func (a *Agent) tryOrder(ctx context.Context, o shift.Order, layout [][][]int) (verdict shift.Verdict, rep Report, sent bool) {
	a.orderMu.Lock()
	defer a.orderMu.Unlock()
	rep, err := a.readReport(ctx)
	if err != nil {
		return shift.VerdictNotReady, rep, false
	}
	a.guard.Lossy = a.Clock.Since(a.unansweredAt) < lossyWindow
	if a.refusesMaps && o.Op == shift.OpPrepare {
		return shift.VerdictNotReady, rep, false
	}
	verdict, send := a.guard.Evaluate(o, rep.State)
	if verdict == shift.VerdictDone && o.Op == shift.OpPrepare {
		a.confirmed, a.confirmedAt = o.Version, a.Clock.Now()
	}
	if verdict != shift.VerdictForward {
		return verdict, rep, false
	}
	if send.Op == shift.OpPrepare && a.preparing == send.Version && rep.Copying {
		return shift.VerdictNotReady, rep, false
	}
	done, err := a.execute(ctx, send, layout)
	if err != nil {
		return shift.VerdictNotReady, rep, false
	}
	if done && send.Op == shift.OpPrepare {
		a.preparing = send.Version
		return shift.VerdictNotReady, rep, false
	}
	return verdict, rep, done
}
