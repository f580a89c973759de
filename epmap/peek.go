package epmap

import "geraniumpass/proto"

// Peek returns an inquiry of rank 0 alone, for its map and popularity, while no switch is under way, and nil otherwise.
func (l *Leader) Peek() *proto.Order {
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

// Peeked takes the reply to Peek and returns true when it is one; a restarted agent makes the leader inquire of all ranks.
func (l *Leader) Peeked(r *proto.OrderReply) bool {
	if l.Phase != PhaseSteady || r.Kind != proto.OrderInquire || r.Fence != l.Fence || r.Seq != l.Seq || !r.OK {
		return false
	}
	if r.Incarnation != l.Ranks[0].Incarnation {
		l.enter(PhaseInquire)
		return false
	}
	l.Ranks[0].State = r.Rank
	return true
}
