package epmap

import "geraniumpass/proto"

// Guard rejects stale orders on behalf of an engine that does not check fencing tokens.
type Guard struct {
	// Incarnation is the agent's incarnation. Orders for another incarnation are refused, because
	// their sender relies on a fence or cap that may have been lost in a restart.
	Incarnation uint64
	Fence       uint64
	Seq         uint64
}

// Engine executes orders at a rank. Apply returns whether the order succeeded and the rank's state
// afterwards.
type Engine interface {
	Apply(o *proto.Order) (bool, proto.RankState, error)
}

// Handle executes an order unless it is stale and returns the reply.
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
