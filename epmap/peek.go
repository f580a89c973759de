package epmap

import "geraniumpass/proto"

// PollOrder returns an inquiry of rank 0 alone, for its map and expert token counts, or nil while a
// switch is in progress.
func (l *Leader) PollOrder() *proto.Order {
	if l.Phase != PhaseSteady {
		return nil
	}
	return &proto.Order{
		Incarnation: l.Ranks[0].Incarnation,
		Fence:       l.Fence,
		Seq:         l.Seq,
		Kind:        proto.OrderInquire,
		Full:        true,
	}
}

// HandlePoll processes a reply to PollOrder and reports whether it was valid. When the agent has
// restarted, it starts an inquiry of all ranks.
func (l *Leader) HandlePoll(r *proto.OrderReply) bool {
	if l.Phase != PhaseSteady || r.Kind != proto.OrderInquire || r.Fence != l.Fence || r.Seq != l.Seq || !r.OK {
		return false
	}
	if r.Incarnation != l.Ranks[0].Incarnation {
		l.enterPhase(PhaseInquire)
		return false
	}
	l.Ranks[0].State = r.Rank
	return true
}
