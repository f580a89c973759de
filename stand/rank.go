package stand

import (
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"geraniumpass/proto"
)

// RankOrder is an order in the JSON format of the engine.
type RankOrder struct {
	Kind    proto.OrderKind `json:"kind"`
	Fence   uint64          `json:"fence"`
	Seq     uint64          `json:"seq"`
	Version uint64          `json:"version"`
	Step    uint64          `json:"step"`
	Map     []byte          `json:"map,omitempty"`
}

// RankReply is an engine's response to an order.
type RankReply struct {
	OK    bool            `json:"ok"`
	State proto.RankState `json:"state"`
}

// Rank is one rank of a group, with its current map and pending orders.
type Rank struct {
	group      *Group
	index      int
	checkFence bool

	mu     sync.Mutex
	state  proto.RankState
	fence  uint64
	seq    uint64
	maps   map[uint64][]byte
	loaded map[uint64]time.Time
}

// State returns a copy of the rank's state.
func (r *Rank) State() proto.RankState {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.snapshot()
}

func (r *Rank) snapshot() proto.RankState {
	s := r.state
	for v, at := range r.loaded {
		if v > s.Staged && !time.Now().Before(at) {
			s.Staged = v
		}
	}
	s.Map = r.maps[s.Version]
	s.Tokens = r.group.expertTokens(r.index)
	return s
}

// Order executes an order. A rank that checks fencing tokens rejects an order with an outdated one.
func (r *Rank) Order(o RankOrder) RankReply {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.checkFence {
		if o.Fence < r.fence || o.Fence == r.fence && o.Seq < r.seq {
			return RankReply{State: r.snapshot()}
		}
		r.fence, r.seq = o.Fence, o.Seq
	}
	ok := r.apply(o)
	return RankReply{
		OK:    ok,
		State: r.snapshot(),
	}
}

func (r *Rank) apply(o RankOrder) bool {
	s := &r.state
	switch o.Kind {
	case proto.OrderInquire:
		return true
	case proto.OrderStage:
		if _, ok := r.loaded[o.Version]; !ok {
			r.loaded[o.Version] = r.group.weights.reserve(r.missing(o.Map))
			r.maps[o.Version] = o.Map
		}
		return r.snapshot().Staged >= o.Version
	case proto.OrderCap:
		if s.Step > o.Step || s.Granted || s.Version >= o.Version || r.snapshot().Staged < o.Version {
			return false
		}
		s.Capped, s.CapMap, s.CapStep = true, o.Version, o.Step
		return true
	case proto.OrderUncap:
		if s.Capped && s.CapMap == o.Version && !s.Granted {
			s.Capped, s.CapMap, s.CapStep = false, 0, 0
		}
		return !s.Capped
	case proto.OrderGrant:
		if s.Version == o.Version {
			return true
		}
		if !s.Capped || s.CapMap != o.Version {
			return false
		}
		s.Granted, s.GrantMap, s.GrantStep = true, o.Version, s.CapStep
		return true
	}
	return false
}

// missing counts the experts that a map places on the rank and its current map does not.
func (r *Rank) missing(next []byte) int {
	return placementDiff(r.maps[r.state.Version], next, r.index)
}

// beginStep starts step s and returns the map version, or false while the rank is held back.
func (r *Rank) beginStep(s uint64) (uint64, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	st := &r.state
	if st.Step != s {
		return 0, false
	}
	if st.Capped && s >= st.CapStep {
		if !st.Granted {
			return 0, false
		}
		st.Version = st.GrantMap
		st.Capped, st.CapMap, st.CapStep = false, 0, 0
		st.Granted, st.GrantMap, st.GrantStep = false, 0, 0
	}
	st.Step = s + 1
	return st.Version, true
}

func (e *Engine) handleRank(ctx *fasthttp.RequestCtx) {
	if e.rank == nil {
		ctx.NotFound()
		return
	}
	if ctx.IsGet() {
		WriteJSON(ctx, RankReply{
			OK:    true,
			State: e.rank.State(),
		})
		return
	}
	var o RankOrder
	if ReadJSON(ctx, &o) {
		WriteJSON(ctx, e.rank.Order(o))
	}
}
