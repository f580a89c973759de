package epmap

import "geraniumpass/proto"

// versionsPerFence is the number of map versions available per fencing token. A leader that has
// used them needs a new lease.
const versionsPerFence = 1 << 20

// Leader drives the map switches of one group under one fencing token; it is not safe for
// concurrent use.
type Leader struct {
	Fence uint64
	Seq   uint64
	Phase Phase
	Plan  Plan
	Ranks []RankView

	switches              uint64
	inconsistentInquiries int
}

// NewLeader returns a leader that starts with an inquiry.
func NewLeader(fence uint64, ranks int) *Leader {
	l := &Leader{
		Fence: fence,
		Ranks: make([]RankView, ranks),
	}
	l.enterPhase(PhaseInquire)
	return l
}

// enterPhase starts a phase under a new sequence number, which invalidates replies to earlier
// orders.
func (l *Leader) enterPhase(p Phase) {
	l.Phase = p
	l.Seq++
	for i := range l.Ranks {
		l.Ranks[i].Answered = false
		l.Ranks[i].OK = false
	}
}

// Order returns the order that a rank has yet to answer, or nil. It may be sent any number of
// times.
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
		// All ranks hold the same map, so only rank 0 sends it.
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

// Handle processes a rank's reply; replies to earlier orders are ignored.
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
		// The rank's agent restarted and lost its fence, so the known state of the group is stale.
		l.enterPhase(PhaseInquire)
		return
	}
	v.Incarnation = r.Incarnation
	v.OK = r.OK
	v.State = r.Rank
	// A rank answers stage and grant orders only once they are done; until then they are repeated.
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

// advance moves to the next phase after every rank has answered.
func (l *Leader) advance() {
	switch l.Phase {
	case PhaseInquire, PhaseConfirm:
		l.resolveInquiry()
	case PhaseStage:
		l.Plan.Step = l.switchStep()
		l.enterPhase(PhaseCap)
	case PhaseCap:
		if l.allOK() {
			l.enterPhase(PhaseGrant)
		} else {
			l.enterPhase(PhaseUncap)
		}
	case PhaseUncap:
		l.finishUncap()
	case PhaseGrant:
		l.Phase = PhaseSteady
	}
}

// defaultAheadSteps is the distance in steps from the most advanced rank to the switch, so that the
// cap arrives in time.
const defaultAheadSteps = 16

func (l *Leader) switchStep() uint64 {
	step := uint64(0)
	for i := range l.Ranks {
		step = max(step, l.Ranks[i].State.Step)
	}
	return step + l.Plan.Step
}

// Propose starts a switch to an encoded map and returns false while another switch or an inquiry is
// in progress. The switch takes place ahead steps in the future; zero means defaultAheadSteps.
func (l *Leader) Propose(encoded []byte, ahead uint64) bool {
	if l.Phase != PhaseSteady || l.switches+1 >= versionsPerFence {
		return false
	}
	if ahead == 0 {
		ahead = defaultAheadSteps
	}
	l.switches++
	l.Plan = Plan{
		Version: l.Fence*versionsPerFence + l.switches,
		Step:    ahead,
		Map:     encoded,
	}
	l.enterPhase(PhaseStage)
	return true
}

// Abort cancels a switch, for instance one that takes too long. It does nothing once a grant may
// have been sent.
func (l *Leader) Abort() {
	switch l.Phase {
	case PhaseStage:
		l.Phase = PhaseSteady
	case PhaseCap:
		for i := range l.Ranks {
			// A rank that has not answered may hold a cap.
			l.Ranks[i].State.CapMap = l.Plan.Version
		}
		l.enterPhase(PhaseUncap)
	}
}

// Version returns the newest map version that any rank is known to run under.
func (l *Leader) Version() uint64 {
	v := uint64(0)
	for i := range l.Ranks {
		v = max(v, l.Ranks[i].State.Version)
	}
	return v
}
