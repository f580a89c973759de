package entry

import (
	"context"

	"github.com/cenkalti/backoff/v5"

	"geraniumpass/proto"
	"geraniumpass/wire"
)

func (p *peer) dialLoop(ctx context.Context) {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = minDialBackoff
	wait.MaxInterval = maxDialBackoff
	for ctx.Err() == nil {
		l, err := wire.Dial(p.dialAddress(), p.e.self, []byte(p.e.cfg.LinkKey))
		if err == nil {
			wait.Reset()
			p.connected(l)
			stop := context.AfterFunc(ctx, l.Close)
			err = l.Receive(p.receive)
			stop()
			p.disconnected(l)
		}
		p.e.log.Debug("agent link down", "agent", p.id, "error", err)
		select {
		case <-ctx.Done():
		case <-p.e.clock.After(wait.NextBackOff()):
		}
	}
}

func (p *peer) dialAddress() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.address
}

// currentLink returns the link, or nil while disconnected.
func (p *peer) currentLink() *wire.Link {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.link
}

// connected resumes attempts that are open on the same agent incarnation and marks those of an
// earlier incarnation as lost.
func (p *peer) connected(l *wire.Link) {
	p.mu.Lock()
	old := p.incarnation
	p.link = l
	p.incarnation = l.Peer.Incarnation
	if old != p.incarnation {
		p.report = nil
		p.drainSent = false
	}
	open := p.openAttempts()
	p.mu.Unlock()
	p.e.log.Debug("agent link up", "agent", p.id, "resumed", len(open))
	first := p.heartbeat()
	first.WantRank = true
	_ = l.Send(&proto.Frame{Heartbeat: first})
	for _, a := range open {
		if old != l.Peer.Incarnation {
			a.markLost()
			continue
		}
		_ = l.Send(&proto.Frame{Resume: &proto.Resume{
			N:    a.n,
			Next: a.next(),
		}})
	}
}

func (p *peer) disconnected(l *wire.Link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.link == l {
		p.link = nil
		p.downSince = p.e.clock.Now()
	}
}
