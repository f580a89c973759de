package place

import "math"

// root inverts power on a sum of powers, so that the result is comparable to the largest load.
func root(sum float64) float64 {
	return math.Pow(max(0, sum), 1.0/peakPower)
}
