package epmap

import "geraniumpass/proto"

// versionsPerFence is how many switches one leader can make before it must take a new lease.
const versionsPerFence = 1 << 20

// Leader drives the switches of one group under one fencing number; it is not safe for use by several goroutines.
type Leader struct {
	Fence uint64
	Seq   uint64
	Phase Phase
	Plan  Plan
	Ranks []RankView

	switches uint64
	doubts   int
}

// NewLeader returns a leader that begins with an inquiry.
func NewLeader(fence uint64, ranks int) *Leader {
	l := &Leader{
		Fence: fence,
		Ranks: make([]RankView, ranks),
	}
	l.enter(PhaseInquire)
	return l
}

// enter begins a phase under a new sequence number, so that answers to earlier orders no longer count.
func (l *Leader) enter(p Phase) {
	l.Phase = p
	l.Seq++
	for i := range l.Ranks {
		l.Ranks[i].Answered = false
		l.Ranks[i].OK = false
	}
}

// Order returns the order that a rank still has to answer, or nil; it may be sent any number of times.
func (l *Leader) Order(rank int) *proto.Order {
	v := &l.Ranks[rank]
	if v.Answered {
		return nil
	}
	o := &proto.Order{
		Incarnation: v.Incarnation,
		Fence:       l.Fence,
		Seq:         l.Seq,
		Version:     l.Plan.Version,
	}
	switch l.Phase {
	case PhaseInquire, PhaseConfirm:
		o.Kind = proto.OrderInquire
		o.Version = 0
		// All ranks hold the same map: one of them is enough to tell it.
		o.Full = rank == 0
	case PhaseStage:
		o.Kind = proto.OrderStage
		o.Map = l.Plan.Map
	case PhaseCap:
		o.Kind = proto.OrderCap
		o.Step = l.Plan.Step
	case PhaseUncap:
		o.Kind = proto.OrderUncap
		o.Version = v.State.CapMap
	case PhaseGrant:
		o.Kind = proto.OrderGrant
		o.Step = l.Plan.Step
	default:
		return nil
	}
	return o
}

// Handle takes a rank's reply; one to an earlier order changes nothing.
func (l *Leader) Handle(rank int, r *proto.OrderReply) {
	if l.Phase == PhaseDeposed {
		return
	}
	if r.Deposed && r.Fence == l.Fence {
		l.Phase = PhaseDeposed
		return
	}
	v := &l.Ranks[rank]
	if r.Fence != l.Fence || r.Seq != l.Seq || v.Answered {
		return
	}
	if l.Phase != PhaseInquire && r.Incarnation != v.Incarnation {
		// The rank's agent was restarted and has forgotten the fence that it was given: all that is known must be asked anew.
		l.enter(PhaseInquire)
		return
	}
	v.Incarnation = r.Incarnation
	v.OK = r.OK
	v.State = r.Rank
	// Staging is answered when it is done; until then the order is repeated.
	v.Answered = l.Phase != PhaseStage && l.Phase != PhaseGrant || r.OK
	if l.allAnswered() {
		l.advance()
	}
}

func (l *Leader) allAnswered() bool {
	for i := range l.Ranks {
		if !l.Ranks[i].Answered {
			return false
		}
	}
	return true
}

func (l *Leader) allOK() bool {
	for i := range l.Ranks {
		if !l.Ranks[i].OK {
			return false
		}
	}
	return true
}

// advance leaves a phase that every rank has answered.
func (l *Leader) advance() {
	switch l.Phase {
	case PhaseInquire, PhaseConfirm:
		l.inquired()
	case PhaseStage:
		l.Plan.Step = l.cap()
		l.enter(PhaseCap)
	case PhaseCap:
		if l.allOK() {
			l.enter(PhaseGrant)
		} else {
			l.enter(PhaseUncap)
		}
	case PhaseUncap:
		l.uncapped()
	case PhaseGrant:
		l.Phase = PhaseSteady
	}
}

// margin is how far ahead of the ranks' steps a switch is set, so that the cap arrives in time.
const margin = 16

func (l *Leader) cap() uint64 {
	step := uint64(0)
	for i := range l.Ranks {
		step = max(step, l.Ranks[i].State.Step)
	}
	return step + l.Plan.Step
}

// Propose begins a switch to an encoded map and returns false when another one, or an inquiry, is under way.
// Ahead is the number of steps that lie before the switch; zero takes a margin of 16.
func (l *Leader) Propose(encoded []byte, ahead uint64) bool {
	if l.Phase != PhaseSteady || l.switches+1 >= versionsPerFence {
		return false
	}
	if ahead == 0 {
		ahead = margin
	}
	l.switches++
	l.Plan = Plan{
		Version: l.Fence*versionsPerFence + l.switches,
		Step:    ahead,
		Map:     encoded,
	}
	l.enter(PhaseStage)
	return true
}

// Abort gives a switch up that takes too long; it does nothing once a grant may have been sent.
func (l *Leader) Abort() {
	switch l.Phase {
	case PhaseStage:
		l.Phase = PhaseSteady
	case PhaseCap:
		for i := range l.Ranks {
			// A promise may have been given by a rank that has not answered.
			l.Ranks[i].State.CapMap = l.Plan.Version
		}
		l.enter(PhaseUncap)
	}
}

// Version returns the map that the ranks are known to step under.
func (l *Leader) Version() uint64 {
	v := uint64(0)
	for i := range l.Ranks {
		v = max(v, l.Ranks[i].State.Version)
	}
	return v
}
