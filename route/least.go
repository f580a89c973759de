package route

import "math/rand/v2"

const (
	// homeGain is the load, as a share of an instance's slots, that another failure domain must save to be preferred: one request of twelve.
	homeGain = 0.08
	// nearGain is the load, as a share of an instance's slots, that an instance outside the preferred ones must save.
	nearGain = 0.08
	// openGain is what an idle connection is worth, as a share of an instance's slots.
	openGain = 0.04
	// slowCost is the load, as a share of an instance's slots, that each part of its usual time weighs by which an instance is slower: all
	// instances of a group wait for the slowest that has work.
	slowCost = 2.0
)

// Seen is an instance as one entry sees it.
type Seen struct {
	Domain string
	// Load is the requests believed to run and wait there, Slots how many run at once.
	Load  float64
	Slots int
	// Pace is how many times its usual time the instance takes for a step of its group, one or less for an instance that is not slow.
	Pace float64
	// Penalty is added for failures seen lately, as a share of the slots.
	Penalty float64
	// Near is true for the few instances that this entry prefers, so that its connections to them are used again.
	Near bool
	// Open is true when an idle connection waits.
	Open bool
	// Barred instances are taken only when there is no other.
	Barred bool
}

// Least returns the index of the instance with the least load for its size, the own failure domain and open connections preferred
// where little is lost; equals are drawn. It returns -1 without candidates.
func Least(seen []Seen, domain string, random *rand.Rand) int {
	best, bestScore, ties := -1, 0.0, 0
	for pass := 0; pass < 2 && best < 0; pass++ {
		for i := range seen {
			if seen[i].Barred && pass == 0 {
				continue
			}
			score := seen[i].score(domain)
			switch {
			case best < 0 || score < bestScore:
				best, bestScore, ties = i, score, 1
			case score == bestScore:
				// Each of n equals is kept with the same chance.
				ties++
				if random.IntN(ties) == 0 {
					best = i
				}
			}
		}
	}
	return best
}

func (s *Seen) score(domain string) float64 {
	score := s.Load/float64(max(1, s.Slots)) + s.Penalty + slowCost*max(0, s.Pace-1)
	if s.Domain != domain {
		score += homeGain
	}
	if !s.Near {
		score += nearGain
	}
	if !s.Open {
		score += openGain
	}
	return score
}
