package entry

import (
	"time"

	"geraniumpass/route"
)

// usable reports whether the agent can be given new work.
func (p *peer) usable(drained map[string]bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.link != nil && p.report != nil && p.report.Healthy && !p.report.Leaving &&
		!p.listedLeaving && !drained[p.id] && p.link.SinceLastReceive() < p.e.peers.staleAfter()
}

func (p *peer) candidate(targets map[string]time.Duration) route.Candidate {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := route.Candidate{
		ID:         p.id,
		Domain:     p.domain,
		Running:    p.report.RunningCost,
		InUse:      p.report.Running,
		Limit:      p.report.Limit,
		DrainRate:  p.report.DrainRate,
		Unreported: p.ownCost - p.ownCostAtReport,
		InFlight:   p.ownCost,
		ReportAge:  p.e.clock.Since(p.reportAt),
	}
	for _, q := range p.report.Queued {
		c.Queued = append(c.Queued, route.ClassCost{
			LatencyTarget: targets[q.Class],
			Cost:          q.Cost,
		})
	}
	return c
}
