package crash

import "time"

const (
	// refusalThreshold is the total weight of terminations at which a request is refused. If two
	// instances terminate, usually only the request that caused it was running on both.
	refusalThreshold = 2.0
	// correlationWindow is the time within which terminations count as simultaneous. Simultaneous
	// terminations are rarely caused by a request, and a harmless request that fails over from one
	// of the instances to the next was running on both.
	correlationWindow = time.Second
	// reducedWeight is the weight of a termination that coincided with others or may have been a
	// partition. It isn't zero because several fatal requests may arrive together, be retried at
	// once and take down a whole failure domain.
	reducedWeight = 0.5
	// minCorrelated is the least number of simultaneous terminations for which a request that was
	// running on all of the instances is presumed to be the cause.
	minCorrelated = 3
)

// refused reports whether the uncleared terminations of a request reach refusalThreshold.
func (g *Registry) refused(s *suspect) bool {
	if float64(s.countUncleared()) < refusalThreshold {
		return false
	}
	sum := 0.0
	for _, r := range s.uncleared() {
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
		for key, t := range other.terminations {
			if correlated(t, r) {
				all[key] = true
			}
		}
	}
	if len(all) == 1 {
		return 1
	}
	own := 0
	for _, t := range s.uncleared() {
		if correlated(t, r) {
			own++
		}
	}
	if len(all) >= minCorrelated && own == len(all) {
		return 1
	}
	return reducedWeight
}

// correlated reports whether two terminations were observed within correlationWindow of each other.
func correlated(a, b *record) bool {
	return (time.Duration(a.Time-b.Time) * time.Millisecond).Abs() < correlationWindow
}
