package entry

import (
	"context"
	"slices"
	"time"

	"geraniumpass/proto"
	"geraniumpass/wire"
)

func (p *peer) watchLoop(ctx context.Context) {
	t := p.e.clock.NewTicker(watchEvery)
	defer t.Stop()
	var last time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.Chan():
		}
		p.checkSilence()
		if now := p.e.clock.Now(); now.Sub(last) >= p.e.peers.pace() {
			last = now
			p.beat()
		}
	}
}

func (p *peer) beat() {
	l := p.present()
	if l == nil {
		return
	}
	_ = l.Send(&proto.Frame{Heartbeat: p.heartbeat()})
	p.sendDrain(l)
}

func (p *peer) heartbeat() *proto.Heartbeat {
	p.mu.Lock()
	defer p.mu.Unlock()
	floor := p.nextN
	for n := range p.attempts {
		floor = min(floor, n)
	}
	return &proto.Heartbeat{
		Floor:    floor,
		Revision: p.e.config.Document().Revision,
		Leaving:  p.listLeaving,
		Heard:    p.report != nil && p.report.Leaving,
		Sent:     p.e.sinceStart(),
	}
}

// checkSilence gives up the attempts of an agent that is silent: soon what may be repeated, later all.
func (p *peer) checkSilence() {
	p.mu.Lock()
	var silence time.Duration
	if p.link == nil {
		silence = p.e.clock.Since(p.downSince) + p.e.peers.stale() - repeatAfter
	} else {
		silence = p.link.Silence()
	}
	open := p.open()
	p.mu.Unlock()
	if silence < p.e.peers.stale() {
		return
	}
	for _, a := range open {
		if a.idempotent || silence > resumePatience {
			a.lose()
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
		_ = l.Send(&proto.Frame{Drain: &proto.Drain{Who: "operator"}})
	}
}
