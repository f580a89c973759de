package gate

import "geraniumpass/core"

// RefusedWeight is what a refusal adds to the failure score of an instance.
const RefusedWeight = refusedWeight

// FailureScore returns the failure score of an incarnation.
func (g *Gate) FailureScore(start core.Start) float64 {
	return g.loads.estimates([]core.Start{start}, g.clock.Now())[0].failures
}
