package agent

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/zeebo/errs/v2"

	"geraniumpass/epmap"
	"geraniumpass/proto"
	"geraniumpass/wire"
)

// settleDelay is how long an agent waits after its start before it answers for a rank whose engine
// does not check fencing tokens. An order in flight from its predecessor must have taken effect
// before the engine's state is reported.
const settleDelay = controlTimeout + 500*time.Millisecond

// rank applies a group leader's orders to the upstream's engine. It is idle when the upstream
// belongs to no rank group.
type rank struct {
	a         *Agent
	settledAt time.Time

	mu    sync.Mutex
	guard epmap.Guard
}

func newRank(a *Agent) *rank {
	r := &rank{
		a:         a,
		settledAt: a.clock.Now(),
		guard:     epmap.Guard{Incarnation: a.self.Incarnation},
	}
	if !a.cfg.Upstream.ChecksFence {
		r.settledAt = r.settledAt.Add(settleDelay)
	}
	return r
}

// handleOrder executes a leader's orders one at a time. It sends no reply before settledAt or when
// the engine failed to execute the order.
func (r *rank) handleOrder(l *wire.Link, o *proto.Order) {
	if r.a.cfg.Upstream.Group == "" || r.a.clock.Now().Before(r.settledAt) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	reply, err := r.guard.Handle(o, r)
	if !o.Full {
		reply.Rank.Map, reply.Rank.Tokens = nil, nil
	}
	if err != nil {
		r.a.log.Warn("engine failed to execute order", "kind", o.Kind, "fence", o.Fence, "error", err)
		return
	}
	_ = l.Send(&proto.Frame{OrderReply: &reply})
}

// Apply implements epmap.Engine. It calls the engine, which replies with the rank's state.
func (r *rank) Apply(o *proto.Order) (bool, proto.RankState, error) {
	body, err := json.Marshal(engineOrder{
		Kind:    o.Kind,
		Fence:   o.Fence,
		Seq:     o.Seq,
		Version: o.Version,
		Step:    o.Step,
		Map:     o.Map,
	})
	if err != nil {
		return false, proto.RankState{}, errs.Wrap(err)
	}
	b, err := r.a.upstream.Order(body)
	if err != nil {
		return false, proto.RankState{}, err
	}
	var reply engineReply
	if err := json.Unmarshal(b, &reply); err != nil {
		return false, proto.RankState{}, errs.Wrap(err)
	}
	return reply.OK, reply.State, nil
}

// engineOrder is an order in the engine's JSON format.
type engineOrder struct {
	Kind    proto.OrderKind `json:"kind"`
	Fence   uint64          `json:"fence"`
	Seq     uint64          `json:"seq"`
	Version uint64          `json:"version"`
	Step    uint64          `json:"step"`
	Map     []byte          `json:"map,omitempty"`
}

type engineReply struct {
	OK    bool            `json:"ok"`
	State proto.RankState `json:"state"`
}

// Order implements Upstream.
func (u *HTTPUpstream) Order(body []byte) ([]byte, error) {
	return u.control(fasthttp.MethodPost, "/rank", body)
}
