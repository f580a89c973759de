package route

import "math/rand/v2"

const (
	// otherDomainPenalty is the load, as a share of an instance's slots, that an instance in
	// another failure domain must save to be preferred: one request in twelve.
	otherDomainPenalty = 0.08
	// notPreferredPenalty is the load, as a share of an instance's slots, that an instance outside
	// the preferred subset must save.
	notPreferredPenalty = 0.08
	// noIdleConnPenalty is the value of an idle connection, as a share of an instance's slots.
	noIdleConnPenalty = 0.04
	// slowPenalty is the load, as a share of an instance's slots, added per unit of Pace above 1. A
	// straggler delays its whole group, because all instances of a group wait for the slowest one
	// that has work.
	slowPenalty = 2.0
)

// InstanceView is the load and condition of an instance as one entry sees it.
type InstanceView struct {
	Domain string
	// Load is the estimated number of requests running and waiting on the instance; Slots is how
	// many run at once.
	Load  float64
	Slots int
	// Pace is the instance's time for a step of its group as a multiple of its usual time; it is at
	// most 1 for an instance that is not slow.
	Pace float64
	// Penalty is added for recent failures, as a share of the slots.
	Penalty float64
	// Preferred reports whether the instance is in the small subset that this entry prefers so that
	// its connections are reused.
	Preferred bool
	// HasIdleConn reports whether an idle connection to the instance is available.
	HasIdleConn bool
	// LastResort instances are picked only when there is no other.
	LastResort bool
}

// LeastLoaded returns the index of the instance with the least load relative to its slots, or -1 if
// there are none. It prefers the own failure domain, the preferred subset and idle connections
// where that costs little load, and breaks ties at random.
func LeastLoaded(views []InstanceView, domain string, random *rand.Rand) int {
	best, bestScore, ties := -1, 0.0, 0
	for pass := 0; pass < 2 && best < 0; pass++ {
		for i := range views {
			if views[i].LastResort && pass == 0 {
				continue
			}
			score := views[i].score(domain)
			switch {
			case best < 0 || score < bestScore:
				best, bestScore, ties = i, score, 1
			case score == bestScore:
				// Reservoir sampling: each of n ties is kept with the same probability.
				ties++
				if random.IntN(ties) == 0 {
					best = i
				}
			}
		}
	}
	return best
}

func (s *InstanceView) score(domain string) float64 {
	score := s.Load/float64(max(1, s.Slots)) + s.Penalty + slowPenalty*max(0, s.Pace-1)
	if s.Domain != domain {
		score += otherDomainPenalty
	}
	if !s.Preferred {
		score += notPreferredPenalty
	}
	if !s.HasIdleConn {
		score += noIdleConnPenalty
	}
	return score
}
