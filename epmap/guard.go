package epmap

import "geraniumpass/proto"

// Guard is a rank's protection against old orders, for engines that don't check fencing numbers themselves.
type Guard struct {
	// Incarnation is the agent's; an order for another one is refused, because its sender knows a promise that is lost.
	Incarnation uint64
	Fence       uint64
	Seq         uint64
}

// Engine carries an order out at the rank and returns whether it did and what the rank holds then.
type Engine interface {
	Apply(o *proto.Order) (bool, proto.RankState, error)
}

// Handle checks an order, has it carried out if it is not old, and returns the reply.
func (g *Guard) Handle(o *proto.Order, e Engine) (proto.OrderReply, error) {
	reply := proto.OrderReply{
		Incarnation: g.Incarnation,
		Fence:       o.Fence,
		Seq:         o.Seq,
		Kind:        o.Kind,
	}
	if o.Kind != proto.OrderInquire && o.Incarnation != g.Incarnation {
		return reply, nil
	}
	if o.Fence < g.Fence || o.Fence == g.Fence && o.Seq < g.Seq {
		reply.Deposed = o.Fence < g.Fence
		return reply, nil
	}
	g.Fence, g.Seq = o.Fence, o.Seq
	ok, state, err := e.Apply(o)
	if err != nil {
		return reply, err
	}
	reply.OK = ok
	reply.Rank = state
	return reply, nil
}
