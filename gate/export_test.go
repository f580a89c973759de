package gate

import "geraniumpass/core"

// FailureScore returns the failure score of an incarnation.
func (g *Gate) FailureScore(start core.Start) float64 {
	return g.loads.estimates([]core.Start{start}, g.clock.Now())[0].failures
}
