package entry

import (
	"context"
	"slices"
	"time"

	"geraniumpass/proto"
	"geraniumpass/wire"
)

func (p *peer) watchLoop(ctx context.Context) {
	t := p.e.clock.NewTicker(watchInterval)
	defer t.Stop()
	var last time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.Chan():
		}
		p.checkSilence()
		if now := p.e.clock.Now(); now.Sub(last) >= p.e.peers.heartbeatInterval() {
			last = now
			p.sendHeartbeat()
		}
	}
}

func (p *peer) sendHeartbeat() {
	l := p.currentLink()
	if l == nil {
		return
	}
	_ = l.Send(&proto.Frame{Heartbeat: p.heartbeat()})
	p.sendDrain(l)
}

func (p *peer) heartbeat() *proto.Heartbeat {
	p.mu.Lock()
	defer p.mu.Unlock()
	floor := p.nextAttempt
	for n := range p.attempts {
		floor = min(floor, n)
	}
	return &proto.Heartbeat{
		Floor:      floor,
		Revision:   p.e.config.Document().Revision,
		Leaving:    p.listedLeaving,
		LeavingAck: p.report != nil && p.report.Leaving,
		Sent:       p.e.sinceStart(),
	}
}

// checkSilence marks attempts at a silent agent as lost: idempotent ones once the agent is stale
// or its link has been down for retryAfterDown, the others after resumeTimeout.
func (p *peer) checkSilence() {
	p.mu.Lock()
	var silence time.Duration
	if p.link == nil {
		silence = p.e.clock.Since(p.downSince) + p.e.peers.staleAfter() - retryAfterDown
	} else {
		silence = p.link.SinceLastReceive()
	}
	open := p.openAttempts()
	p.mu.Unlock()
	if silence < p.e.peers.staleAfter() {
		return
	}
	for _, a := range open {
		if a.idempotent || silence > resumeTimeout {
			a.markLost()
		}
	}
}

func (p *peer) sendDrain(l *wire.Link) {
	doc := p.e.config.Document()
	p.mu.Lock()
	wanted := !p.drainSent && slices.Contains(doc.Drained, p.id)
	p.drainSent = p.drainSent || wanted
	p.mu.Unlock()
	if wanted {
		_ = l.Send(&proto.Frame{Drain: &proto.Drain{RequestedBy: "operator"}})
	}
}
