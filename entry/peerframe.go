package entry

import (
	"geraniumpass/config"
	"geraniumpass/proto"
)

func (p *peer) receive(f *proto.Frame) {
	switch {
	case f.Answer != nil:
		if a := p.attempt(f.Answer.N); a != nil {
			a.addPart(f.Answer)
		}
	case f.Refused != nil:
		if a := p.attempt(f.Refused.N); a != nil {
			a.refuse(f.Refused)
		}
	case f.Report != nil:
		p.handleReport(f.Report)
	case f.OrderReply != nil:
		p.e.groups.handleReply(p.id, f.OrderReply)
	case f.Config != nil:
		if err := config.ApplyUpdate(p.e.config, f.Config); err != nil {
			p.e.log.Warn("failed to apply configuration", "agent", p.id, "error", err)
		}
	case f.ConfigRequest != nil:
		if l := p.currentLink(); l != nil {
			config.SendUpdate(p.e.config, l, f.ConfigRequest)
		}
	}
}

func (p *peer) handleReport(r *proto.Report) {
	p.mu.Lock()
	startsLeaving := r.Leaving && (p.report == nil || !p.report.Leaving)
	p.report = r
	if r.Group != "" {
		p.group, p.rank, p.ranks = r.Group, r.Rank, r.Ranks
	}
	p.reportAt = p.e.clock.Now()
	p.ownCostAtReport = p.ownCost
	l := p.link
	var open []*attempt
	if !r.Healthy {
		open = p.openAttempts()
	}
	p.mu.Unlock()
	if startsLeaving && l != nil {
		_ = l.Send(&proto.Frame{Heartbeat: p.heartbeat()})
	}
	for _, a := range open {
		// The upstream is down or stopped, so idempotent attempts are retried elsewhere without
		// waiting.
		if a.idempotent {
			a.markLost()
		}
	}
	if have := p.e.config.Document().Revision; r.Revision > have && l != nil {
		_ = l.Send(&proto.Frame{ConfigRequest: &proto.ConfigRequest{SinceRevision: have}})
	}
}
