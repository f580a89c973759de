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

// settleTime is how long an agent waits after its start before it speaks for a rank whose engine doesn't check fencing
// numbers: an order that its predecessor had under way must have landed before the engine's state is reported.
const settleTime = controlTime + 500*time.Millisecond

// rank guards the upstream's place in a rank group; it is idle when the upstream has none.
type rank struct {
	a       *Agent
	settled time.Time

	mu    sync.Mutex
	guard epmap.Guard
}

func newRank(a *Agent) *rank {
	r := &rank{
		a:       a,
		settled: a.clock.Now(),
		guard:   epmap.Guard{Incarnation: a.self.Incarnation},
	}
	if !a.cfg.Upstream.ChecksFence {
		r.settled = r.settled.Add(settleTime)
	}
	return r
}

// order carries a leader's order out, one at a time, and replies unless the engine could not be asked.
func (r *rank) order(l *wire.Link, o *proto.Order) {
	if r.a.cfg.Upstream.Group == "" || r.a.clock.Now().Before(r.settled) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	reply, err := r.guard.Handle(o, r)
	if !o.Full {
		reply.Rank.Map, reply.Rank.Tokens = nil, nil
	}
	if err != nil {
		r.a.log.Warn("engine did not take an order", "kind", o.Kind, "fence", o.Fence, "error", err)
		return
	}
	_ = l.Send(&proto.Frame{OrderReply: &reply})
}

// Apply implements epmap.Engine by a call to the engine, which answers with what the rank holds.
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

// engineOrder is an order in the engine's form.
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
