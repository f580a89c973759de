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
	heartbeatEvery = 500 * time.Millisecond
	watchEvery     = 100 * time.Millisecond
	// heartbeatLinks is the number of links up to which heartbeats keep their pace; with more they come as much less often,
	// so that an entry's control traffic stays within its budget.
	heartbeatLinks = 100
	// staleBeats is the silence, in heartbeats, after which an agent gets no new work.
	staleBeats = 3
	// repeatAfter is how long a link may be down before what may be repeated goes elsewhere.
	repeatAfter = 300 * time.Millisecond
	// resumePatience is how long what may not be repeated waits for its agent to come back.
	resumePatience = 10 * time.Second
	dialFirst      = 20 * time.Millisecond
	dialLongest    = time.Second
)

// peer is this entry's side of one agent: the link, the attempts open there and the latest report.
type peer struct {
	e       *Entry
	cancel  context.CancelFunc
	id      string
	service string
	kind    core.Kind
	domain  string

	mu          sync.Mutex
	address     string
	listLeaving bool
	link        *wire.Link
	incarnation uint64
	attempts    map[uint64]*attempt
	nextN       uint64
	report      *proto.Report
	reportAt    time.Time
	own         float64
	ownAtReport float64
	downSince   time.Time
	drainSent   bool
	group       string
	rank        int
	ranks       int
}

func newPeer(e *Entry, in core.Instance) *peer {
	ctx, cancel := context.WithCancel(e.ctx)
	p := &peer{
		e:           e,
		cancel:      cancel,
		id:          in.ID,
		service:     in.Service,
		kind:        in.Kind,
		domain:      in.Domain,
		address:     in.Address,
		listLeaving: in.Leaving,
		attempts:    make(map[uint64]*attempt),
		nextN:       1,
		downSince:   e.clock.Now(),
	}
	e.loops.Go(func() { p.dialLoop(ctx) })
	e.loops.Go(func() { p.watchLoop(ctx) })
	return p
}

func (p *peer) open() []*attempt {
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

// send opens an attempt and dispatches it; it returns nil when there is no link to send it on.
func (p *peer) send(d *proto.Dispatch) *attempt {
	p.mu.Lock()
	// An agent that leaves only answers for keyed calls that it may have run.
	leaving := p.report != nil && p.report.Leaving && d.ClaimKey == ""
	if p.link == nil || leaving {
		p.mu.Unlock()
		return nil
	}
	d.N = p.nextN
	if d.Incarnation == 0 {
		d.Incarnation = p.incarnation
	}
	p.nextN++
	a := newAttempt(d.N, p, d)
	p.attempts[d.N] = a
	p.own += d.Cost
	l := p.link
	p.mu.Unlock()
	_ = l.Send(&proto.Frame{Dispatch: d})
	return a
}

// close forgets an attempt; with cancel the agent is told that nobody wants it any more.
func (p *peer) close(a *attempt, cancel bool) {
	p.mu.Lock()
	if _, ok := p.attempts[a.n]; ok {
		delete(p.attempts, a.n)
		p.own -= a.cost
	}
	l := p.link
	p.mu.Unlock()
	if cancel && l != nil {
		_ = l.Send(&proto.Frame{Cancel: &proto.Cancel{N: a.n}})
	}
}

func (p *peer) ack(a *attempt, next uint32) {
	if l := p.present(); l != nil {
		_ = l.Send(&proto.Frame{Ack: &proto.Ack{
			N:    a.n,
			Next: next,
		}})
	}
}

// update takes a new row of the instance list.
func (p *peer) update(in core.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.address = in.Address
	p.listLeaving = in.Leaving
}
