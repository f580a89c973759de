package crash

import "time"

const (
	// refusalThreshold is the total weight of terminations at which a request is refused. Of the
	// requests running on two instances when they terminated, usually only the one that caused it
	// was running on both.
	refusalThreshold = 2.0
	// correlationWindow is the time within which terminations count as simultaneous. Simultaneous
	// terminations are rarely caused by a request, and an innocent request that is retried from one
	// of the instances on the next is running on both.
	correlationWindow = time.Second
	// reducedWeight is the weight of a termination that coincided with others or may have been a
	// partition. It isn't zero because several fatal requests may arrive together, be retried at
	// once and take down a whole failure domain.
	reducedWeight = 0.5
	// minCorrelated is the number of simultaneous terminations from which a request that was
	// running on all of the instances is presumed to be the cause.
	minCorrelated = 3
)

// refused reports whether the uncleared terminations of a request reach refusalThreshold.
func (g *Registry) refused(s *suspect) bool {
	terminations := s.uncleared()
	if float64(len(terminations)) < refusalThreshold {
		return false
	}
	sum := 0.0
	for _, r := range terminations {
		sum += g.weight(s, r)
	}
	return sum >= refusalThreshold
}

// weight returns how much a termination counts against a request. It is reduced if other instances
// terminated at the same time or if the instance may only have been unreachable.
func (g *Registry) weight(s *suspect, r *record) float64 {
	if r.Uncertain {
		return reducedWeight
	}
	all := make(map[TerminationKey]bool)
	for _, other := range g.suspects {
		for key, near := range other.terminations {
			if correlated(near, r) {
				all[key] = true
			}
		}
	}
	if len(all) == 1 {
		return 1
	}
	mine := 0
	for _, near := range s.uncleared() {
		if correlated(near, r) {
			mine++
		}
	}
	if len(all) >= minCorrelated && mine == len(all) {
		return 1
	}
	return reducedWeight
}

// correlated reports whether two terminations were observed within correlationWindow of each other.
func correlated(a, b *record) bool {
	return (time.Duration(a.Time-b.Time) * time.Millisecond).Abs() < correlationWindow
}
