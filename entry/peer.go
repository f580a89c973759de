package entry

import (
	"context"
	"sync"
	"time"

	"geraniumpass/core"
	"geraniumpass/proto"
	"geraniumpass/wire"
)

const (
	minHeartbeatInterval = 500 * time.Millisecond
	watchInterval        = 100 * time.Millisecond
	// fullRateHeartbeatLinks is the number of links up to which heartbeats are sent at the minimum
	// interval. With more links the interval grows in proportion, to keep an entry's control
	// traffic within its budget.
	fullRateHeartbeatLinks = 100
	// staleHeartbeats is the number of heartbeat intervals without traffic after which an agent is
	// stale and gets no new work.
	staleHeartbeats = 3
	// retryAfterDown is how long a link may be down before idempotent attempts are retried
	// elsewhere.
	retryAfterDown = 300 * time.Millisecond
	// resumeTimeout is how long non-idempotent attempts wait for their agent to reconnect.
	resumeTimeout  = 10 * time.Second
	minDialBackoff = 20 * time.Millisecond
	maxDialBackoff = time.Second
)

// peer is this entry's connection to one agent, with its open attempts and latest report.
type peer struct {
	e       *Entry
	cancel  context.CancelFunc
	id      string
	service string
	kind    core.Kind
	domain  string

	mu              sync.Mutex
	address         string
	listedLeaving   bool
	link            *wire.Link
	incarnation     uint64
	attempts        map[uint64]*attempt
	nextAttempt     uint64
	report          *proto.Report
	reportAt        time.Time
	ownCost         float64
	ownCostAtReport float64
	downSince       time.Time
	drainSent       bool
	group           string
	rank            int
	ranks           int
}

func newPeer(e *Entry, in core.Instance) *peer {
	ctx, cancel := context.WithCancel(e.ctx)
	p := &peer{
		e:             e,
		cancel:        cancel,
		id:            in.ID,
		service:       in.Service,
		kind:          in.Kind,
		domain:        in.Domain,
		address:       in.Address,
		listedLeaving: in.Leaving,
		attempts:      make(map[uint64]*attempt),
		nextAttempt:   1,
		downSince:     e.clock.Now(),
	}
	e.background.Go(func() { p.dialLoop(ctx) })
	e.background.Go(func() { p.watchLoop(ctx) })
	return p
}

func (p *peer) openAttempts() []*attempt {
	out := make([]*attempt, 0, len(p.attempts))
	for _, a := range p.attempts {
		out = append(out, a)
	}
	return out
}

func (p *peer) attempt(n uint64) *attempt {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.attempts[n]
}

// dispatch opens an attempt and sends it to the agent. It returns nil if the agent is not linked, or
// if it is leaving and the request is not keyed.
func (p *peer) dispatch(d *proto.Dispatch) *attempt {
	p.mu.Lock()
	// A leaving agent accepts only keyed requests, since it may hold the answer of an earlier
	// attempt.
	leaving := p.report != nil && p.report.Leaving && d.ClaimKey == ""
	if p.link == nil || leaving {
		p.mu.Unlock()
		return nil
	}
	d.N = p.nextAttempt
	if d.Incarnation == 0 {
		d.Incarnation = p.incarnation
	}
	p.nextAttempt++
	a := newAttempt(d.N, p, d)
	p.attempts[d.N] = a
	p.ownCost += d.Cost
	l := p.link
	p.mu.Unlock()
	_ = l.Send(&proto.Frame{Dispatch: d})
	return a
}

// closeAttempt removes an attempt and, if cancel is set, tells the agent to cancel it.
func (p *peer) closeAttempt(a *attempt, cancel bool) {
	p.mu.Lock()
	if _, ok := p.attempts[a.n]; ok {
		delete(p.attempts, a.n)
		p.ownCost -= a.cost
	}
	l := p.link
	p.mu.Unlock()
	if cancel && l != nil {
		_ = l.Send(&proto.Frame{Cancel: &proto.Cancel{N: a.n}})
	}
}

func (p *peer) ack(a *attempt, next uint32) {
	if l := p.currentLink(); l != nil {
		_ = l.Send(&proto.Frame{Ack: &proto.Ack{
			N:    a.n,
			Next: next,
		}})
	}
}

// update applies a changed row of the instance list.
func (p *peer) update(in core.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.address = in.Address
	p.listedLeaving = in.Leaving
}
