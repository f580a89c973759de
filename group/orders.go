package group

import (
	"context"

	"geraniumpass/proto"
	"geraniumpass/retry"
	"geraniumpass/shift"
	"geraniumpass/wire"
)

// take notes that a leader lives and starts what it orders.
func (a *Agent) take(l *wire.Link, o *proto.GroupOrder) {
	order := shift.Order{
		Fence:   o.Fence,
		Op:      shift.Op(o.Op),
		Epoch:   o.Epoch,
		Version: o.Version,
		Step:    o.Step,
		Ahead:   o.Ahead,
	}
	a.mu.Lock()
	if o.Group != a.report.Group {
		// Leaders of other groups look for their ranks here as well.
		f := a.frame(a.report)
		a.mu.Unlock()
		_ = l.Send(&proto.Frame{RankState: f})
		return
	}
	if o.Fence < a.fence {
		// A leader that slept has to learn that it was replaced from whatever it says, or it would wait for this rank for ever.
		f := a.frame(a.report)
		a.mu.Unlock()
		f.Seq, f.Refused = o.Seq, true
		_ = l.Send(&proto.Frame{RankState: f})
		return
	}
	a.fence = o.Fence
	a.leader = l
	a.heard = a.Clock.Now()
	busy := a.underway[order]
	if busy || order.Op == 0 {
		a.mu.Unlock()
		return
	}
	var layout [][][]int
	if order.Op == shift.OpPrepare {
		var ok bool
		if layout, ok = a.maps.of(o); !ok {
			f := a.frame(a.report)
			a.mu.Unlock()
			f.Seq, f.Unknown = o.Seq, true
			a.Log.Info("map sent by its changes is not known here", "version", o.Version, "base", o.Base)
			_ = l.Send(&proto.Frame{RankState: f})
			return
		}
	}
	a.underway[order] = true
	a.mu.Unlock()
	go func() {
		a.answer(l, o.Seq, order, layout)
		a.mu.Lock()
		delete(a.underway, order)
		a.mu.Unlock()
	}()
}

// answer tries an order until it is settled and tells its leader.
func (a *Agent) answer(l *wire.Link, seq uint64, o shift.Order, layout [][][]int) {
	ctx, cancel := context.WithTimeout(context.Background(), orderTime)
	defer cancel()
	ans, rep := a.settle(ctx, o, layout)
	if ans == shift.AnswerWait {
		return
	}
	f := a.frame(rep)
	f.Seq = seq
	f.OK = ans == shift.AnswerDone
	f.Refused = ans == shift.AnswerRefused
	if o.Op == shift.OpAsk {
		version, lists, err := a.Engine.Lists(ctx)
		if err != nil {
			return
		}
		f.ListsMap, f.Lists = version, lists
	}
	a.Log.Info("order", "op", o.Op.String(), "fence", o.Fence, "version", o.Version, "step", o.Step, "epoch", o.Epoch,
		"ok", f.OK, "refused", f.Refused, "at", rep.Step, "map", rep.Map, "held", rep.Held, "armed", rep.Armed)
	_ = l.Send(&proto.Frame{RankState: f})
}

// settle returns AnswerDone once the engine's state is what the order asks for, AnswerWait when that didn't come in time.
func (a *Agent) settle(ctx context.Context, o shift.Order, layout [][][]int) (shift.Answer, Report) {
	refused := 0
	for ctx.Err() == nil {
		ans, rep, sent := a.try(ctx, o, layout)
		switch {
		case ans == shift.AnswerSend && !sent:
			if refused++; refused >= refusals {
				return shift.AnswerWrong, rep
			}
		case ans == shift.AnswerDone, ans == shift.AnswerRefused, ans == shift.AnswerWrong:
			return ans, rep
		}
		if !sent {
			retry.Pause(ctx, orderPoll)
		}
	}
	return shift.AnswerWait, Report{}
}

// try reads the engine, has the guard judge the order and gives it; sent is false when the engine refused it.
func (a *Agent) try(ctx context.Context, o shift.Order, layout [][][]int) (ans shift.Answer, rep Report, sent bool) {
	a.ordering.Lock()
	defer a.ordering.Unlock()
	rep, err := a.look(ctx)
	if err != nil {
		return shift.AnswerWait, rep, false
	}
	a.guard.Lossy = a.Clock.Since(a.lossAt) < lossyTime
	ans, send := a.guard.Judge(o, rep.State)
	if ans != shift.AnswerSend {
		return ans, rep, false
	}
	if send.Op == shift.OpPrepare && a.copying == send.Version && rep.Copying {
		return shift.AnswerWait, rep, false
	}
	done, err := a.do(ctx, send, layout)
	if err != nil {
		return shift.AnswerWait, rep, false
	}
	if done && send.Op == shift.OpPrepare {
		a.copying = send.Version
		return shift.AnswerWait, rep, false
	}
	return ans, rep, done
}
