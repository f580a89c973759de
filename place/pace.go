package place

// paceOf returns the rank's time for its load as a multiple of the usual time; a nil pace means
// that all ranks are equally fast.
func paceOf(pace []float64, rank int) float64 {
	if pace == nil {
		return 1
	}
	return pace[rank]
}

// totalSpeed returns the combined speed of all ranks, in ranks of the usual pace.
func totalSpeed(pace []float64, ranks int) float64 {
	sum := 0.0
	for r := range ranks {
		sum += 1 / paceOf(pace, r)
	}
	return sum
}
