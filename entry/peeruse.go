package entry

import (
	"time"

	"geraniumpass/route"
)

// usable returns true when the agent may be given new work.
func (p *peer) usable(drained map[string]bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.link != nil && p.report != nil && p.report.Healthy && !p.report.Leaving &&
		!p.listLeaving && !drained[p.id] && p.link.Silence() < p.e.peers.stale()
}

func (p *peer) candidate(withins map[string]time.Duration) route.Candidate {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := route.Candidate{
		ID:         p.id,
		Domain:     p.domain,
		Running:    p.report.RunningCost,
		InUse:      p.report.Running,
		Limit:      p.report.Limit,
		DrainRate:  p.report.Drain,
		Unreported: p.own - p.ownAtReport,
		InFlight:   p.own,
		ReportAge:  p.e.clock.Since(p.reportAt),
	}
	for _, q := range p.report.Queued {
		c.Queued = append(c.Queued, route.ClassCost{
			LatencyTarget: withins[q.Class],
			Cost:          q.Cost,
		})
	}
	return c
}
