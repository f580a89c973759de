package entry

import (
	"context"

	"github.com/cenkalti/backoff/v5"

	"geraniumpass/proto"
	"geraniumpass/wire"
)

func (p *peer) dialLoop(ctx context.Context) {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = dialFirst
	wait.MaxInterval = dialLongest
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

// present returns the link as it is now, nil while there is none.
func (p *peer) present() *wire.Link {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.link
}

// connected resumes what is open on the agent's present incarnation and gives up what was open on an earlier one.
func (p *peer) connected(l *wire.Link) {
	p.mu.Lock()
	old := p.incarnation
	p.link = l
	p.incarnation = l.Peer.Incarnation
	if old != p.incarnation {
		p.report = nil
		p.drainSent = false
	}
	open := p.open()
	p.mu.Unlock()
	p.e.log.Debug("agent link up", "agent", p.id, "resumed", len(open))
	first := p.heartbeat()
	first.First = true
	_ = l.Send(&proto.Frame{Heartbeat: first})
	for _, a := range open {
		if old != l.Peer.Incarnation {
			a.lose()
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
