package peer

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/hashicorp/go-hclog"

	"geraniumpass/core"
	"geraniumpass/crash"
	"geraniumpass/plan"
	"geraniumpass/proto"
	"geraniumpass/quota"
	"geraniumpass/retry"
	"geraniumpass/view"
	"geraniumpass/wire"
)

const (
	// peersAsked is how many peers an entry asks at a time, so that news comes although two of them are gone or cut off.
	peersAsked = 3
	// dialTime bounds the opening of a link: members that are gone stay in the list, and one of them must not keep a question from the next.
	dialTime = 400 * time.Millisecond
	// askWait is how long a peer holds a question; a silent link shows after that and answerSlack.
	askWait = 700 * time.Millisecond
	// answerSlack is how late an answer may come: several hundred delays between zones.
	answerSlack = 400 * time.Millisecond
	// redraw is after how many answers another peer is drawn, so that no two entries only ask each other.
	redraw = 12
	// drawAgain is the pause before another peer is tried.
	drawAgain = 150 * time.Millisecond
)

// Asker learns from peers what the store has not told this entry.
type Asker struct {
	Own   wire.Identity
	Key   []byte
	Seeds []string
	View  *view.Keeper
	Ends  Learner
	// Quotas takes the limits that instances state.
	Quotas LimitLearner
	// Leaving takes the instances that leave.
	Leaving LeavingLearner
	Log     hclog.Logger
}

// Learner takes what a peer knows of instances that ended under a request.
type Learner interface {
	Merge(ends []crash.End)
}

// LimitLearner takes what a peer knows of the limits that instances state.
type LimitLearner interface {
	Merge(notices []quota.Notice)
}

// LeavingLearner takes what a peer knows of instances that leave.
type LeavingLearner interface {
	Merge(starts []core.Start)
}

// Run asks until ctx ends.
func (a *Asker) Run(ctx context.Context) {
	for i := 1; i < peersAsked; i++ {
		go a.loop(ctx)
	}
	a.loop(ctx)
}

func (a *Asker) loop(ctx context.Context) {
	for ctx.Err() == nil {
		if address := a.draw(); address != "" {
			a.ask(ctx, address)
		}
		retry.Pause(ctx, drawAgain)
	}
}

// draw returns the address of a random peer, a seed's while none is known, empty when there is none at all.
func (a *Asker) draw() string {
	var list []string
	for name, address := range a.View.Now().Members {
		if name != a.Own.ID {
			list = append(list, address)
		}
	}
	if len(list) == 0 {
		list = a.Seeds
	}
	if len(list) == 0 {
		return ""
	}
	return list[rand.IntN(len(list))]
}

// ask puts questions to one peer until it is time for another or the link fails.
func (a *Asker) ask(ctx context.Context, address string) {
	l, err := wire.DialWithin(dialTime, address, a.Own, a.Key)
	if err != nil {
		a.Log.Debug("peer can't be reached", "address", address, "error", err)
		return
	}
	defer l.Close()
	answers := make(chan *proto.News, 1)
	go func() {
		_ = l.Receive(func(f *proto.Frame) {
			if f.News == nil {
				return
			}
			select {
			case answers <- f.News:
			case <-l.Done():
			}
		})
	}()
	last := &proto.News{}
	for range redraw {
		s := a.View.Now()
		q := &proto.NewsAsk{
			Rev:     s.Rev,
			WaitMs:  askWait.Milliseconds(),
			Ends:    last.EndsUpTo,
			Limits:  last.LimitsUpTo,
			Leaving: last.LeavingUpTo,
		}
		if s.Table != nil {
			q.Table = s.Table.Version
		}
		if l.Send(&proto.Frame{NewsAsk: q}) != nil {
			return
		}
		late := time.NewTimer(askWait + answerSlack)
		select {
		case last = <-answers:
			late.Stop()
			a.take(last)
		case <-late.C:
			a.Log.Info("peer is silent", "peer", l.Peer.ID)
			return
		case <-l.Done():
			late.Stop()
			return
		case <-ctx.Done():
			late.Stop()
			return
		}
	}
}

func (a *Asker) take(n *proto.News) {
	// Before the snapshot: whoever has a table has to know which requests it must not send.
	a.Ends.Merge(n.Ends)
	a.Quotas.Merge(n.Limits)
	a.Leaving.Merge(n.Leaving)
	s := &view.Snapshot{
		Rev:     n.Rev,
		Members: n.Members,
		Lapsed:  n.Lapsed,
		Paces:   n.Paces,
	}
	if len(n.Table) > 0 {
		t := &plan.Table{}
		if err := proto.Unmarshal(n.Table, t); err != nil {
			a.Log.Error("peer's table can't be read", "error", err)
			return
		}
		s.Table = t.Compile()
	}
	if n.Newer {
		var list []core.Instance
		if err := proto.Unmarshal(n.Instances, &list); err != nil {
			a.Log.Error("peer's instances can't be read", "error", err)
			return
		}
		s.Instances = list
	} else {
		s.Rev = 0
	}
	if a.View.Adopt(s) {
		a.Log.Info("learned from a peer", "rev", n.Rev)
	}
}
