package epmap

import (
	"sort"

	"github.com/samber/lo"

	"geraniumpass/proto"
)

// successors calls fn with every state that one event leads to.
func (w *world) successors(b bounds, mut mutation, fn func(*world)) {
	w.stepSuccessors(b, fn)
	keys := lo.Keys(w.msgs)
	// The order is fixed so that a bounded exploration always visits the same states.
	sort.Strings(keys)
	for _, k := range keys {
		n := w.clone()
		if n.deliver(w.msgs[k], mut) {
			fn(n)
		}
	}
	for i := range w.leaders {
		w.leaderSuccessors(b, i, mut, fn)
	}
	if w.restarts < b.restarts {
		for r := range w.guards {
			n := w.clone()
			n.guards[r] = Guard{Incarnation: n.guards[r].Incarnation + 1}
			n.restarts++
			fn(n)
		}
	}
}

func (w *world) stepSuccessors(b bounds, fn func(*world)) {
	slowest := w.engines[0].step
	for i := range w.engines {
		slowest = min(slowest, w.engines[i].step)
	}
	for r := range w.engines {
		s := w.engines[r].step
		// Ranks run in lock-step: none starts a step before all have started the previous one.
		if s > b.steps || s > slowest {
			continue
		}
		n := w.clone()
		if v, ok := n.engines[r].beginStep(); ok {
			n.used[s][r] = v
			fn(n)
		}
	}
}

func (w *world) deliver(m message, mut mutation) bool {
	if m.answer {
		l := &w.leaders[m.leader]
		before := *l
		view := l.Ranks[m.rank]
		l.Handle(m.rank, &m.reply)
		if mut == smallQuorum {
			w.skipLastRank(l)
		}
		if l.Phase == before.Phase && l.Seq == before.Seq && l.Ranks[m.rank].Answered == view.Answered && l.Ranks[m.rank].OK == view.OK {
			return false
		}
		w.send(m.leader)
		return true
	}
	g := &w.guards[m.rank]
	o := m.order
	switch mut {
	case noFence:
		g.Fence, g.Seq = 0, 0
	case noIncarnation:
		o.Incarnation = g.Incarnation
	}
	e := &w.engines[m.rank]
	e.ignoresCap = mut == noCap
	reply, err := g.Handle(&o, e)
	e.ignoresCap = false
	if err != nil {
		return false
	}
	if mut == noIncarnation {
		reply.Incarnation = 1
	}
	if reply.Deposed {
		reply.Seq, reply.Kind = 0, proto.OrderInquire
	}
	a := message{leader: m.leader, rank: m.rank, reply: reply, answer: true}
	w.msgs[a.key()] = a
	return true
}

// skipLastRank lets a leader advance without the last rank's answer.
func (w *world) skipLastRank(l *Leader) {
	last := len(l.Ranks) - 1
	for i := range last {
		if !l.Ranks[i].Answered {
			return
		}
	}
	if l.Phase == PhaseCap && !l.Ranks[last].Answered {
		l.Ranks[last].Answered, l.Ranks[last].OK = true, true
		l.advance()
	}
}

func (w *world) leaderSuccessors(b bounds, i int, mut mutation, fn func(*world)) {
	l := &w.leaders[i]
	if l.Phase == PhaseSteady && !w.proposed[i] {
		n := w.clone()
		n.proposed[i] = true
		n.leaders[i].Propose(nil, 1)
		n.leaders[i].Plan.Step = 0
		n.send(i)
		fn(n)
	}
	if w.aborted < b.aborts && l.Phase == PhaseCap {
		n := w.clone()
		n.aborted++
		n.leaders[i].Abort()
		n.send(i)
		fn(n)
	}
	if mut == uncapGranted && l.Phase == PhaseGrant || mut == noInquiry && l.Phase == PhaseInquire && l.Fence > 1 {
		n := w.clone()
		u := &n.leaders[i]
		for r := range u.Ranks {
			u.Ranks[r].State.CapMap = versionsPerFence + 1
			u.Ranks[r].Incarnation = 1
			if mut == uncapGranted {
				u.Ranks[r].State.CapMap = u.Plan.Version
			}
		}
		u.enterPhase(PhaseUncap)
		n.send(i)
		fn(n)
	}
}
