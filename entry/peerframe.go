package entry

import (
	"geraniumpass/config"
	"geraniumpass/proto"
)

func (p *peer) receive(f *proto.Frame) {
	switch {
	case f.Answer != nil:
		if a := p.attempt(f.Answer.N); a != nil {
			a.accept(f.Answer)
		}
	case f.Refused != nil:
		if a := p.attempt(f.Refused.N); a != nil {
			a.refuse(f.Refused)
		}
	case f.Report != nil:
		p.takeReport(f.Report)
	case f.OrderReply != nil:
		p.e.groups.reply(p.id, f.OrderReply)
	case f.Config != nil:
		if err := config.Take(p.e.config, f.Config); err != nil {
			p.e.log.Warn("configuration not taken", "agent", p.id, "error", err)
		}
	case f.ConfigAsk != nil:
		if l := p.present(); l != nil {
			config.Answer(p.e.config, l, f.ConfigAsk)
		}
	}
}

func (p *peer) takeReport(r *proto.Report) {
	p.mu.Lock()
	news := r.Leaving && (p.report == nil || !p.report.Leaving)
	p.report = r
	if r.Group != "" {
		p.group, p.rank, p.ranks = r.Group, r.Rank, r.Ranks
	}
	p.reportAt = p.e.clock.Now()
	p.ownAtReport = p.own
	l := p.link
	var open []*attempt
	if !r.Healthy {
		open = p.open()
	}
	p.mu.Unlock()
	if news && l != nil {
		_ = l.Send(&proto.Frame{Heartbeat: p.heartbeat()})
	}
	for _, a := range open {
		// An upstream that is down or has stopped keeps nothing that may go on elsewhere.
		if a.idempotent {
			a.lose()
		}
	}
	if have := p.e.config.Document().Revision; r.Revision > have && l != nil {
		_ = l.Send(&proto.Frame{ConfigAsk: &proto.ConfigAsk{Have: have}})
	}
}
