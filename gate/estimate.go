package gate

// estimate is an entry's view of an instance: its load, its failure score, and whether it is
// failing.
type estimate struct {
	load     float64
	failures float64
	failing  bool
}

// isBarred reports whether the instance is picked only if there is no other.
func (e estimate) isBarred() bool {
	return e.failures > barThreshold || e.failing
}
