package crash

import "math"

// minTilt, maxTilt and tiltStep are the values of the free parameter for which the bound of a probability
// is computed.
const (
	minTilt  = 0.125
	maxTilt  = 64.0
	tiltStep = 1.25
)

// surprisal returns the negative logarithm of a bound of the probability that something is present by
// chance as often as it is, or more (Chernoff). The probabilities are those at the terminations where it
// is present and where it is not; the less likely its presence, the more it weighs.
func surprisal(present, absent []float64) float64 {
	best := 0.0
	for t := minTilt; t <= maxTilt; t *= tiltStep {
		sum := sumOver(present, func(p float64) float64 { return -math.Log(p + (1-p)*math.Pow(p, t)) })
		sum += sumOver(absent, func(p float64) float64 { return -math.Log(1 - p + math.Pow(p, 1-t)) })
		best = max(best, sum)
	}
	return best
}

// sumOver sums a function of probabilities, of which many in a row are equal.
func sumOver(probabilities []float64, f func(p float64) float64) float64 {
	sum, last, value := 0.0, -1.0, 0.0
	for _, p := range probabilities {
		if p != last {
			last, value = p, f(p)
		}
		sum += value
	}
	return sum
}
