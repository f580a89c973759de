package place

import "math"

// root inverts power, the eighth power, on a sum of powers, so that the result is comparable to the largest load.
func root(sum float64) float64 {
	// Three square roots are several times as fast as math.Pow.
	return math.Sqrt(math.Sqrt(math.Sqrt(max(0, sum))))
}
