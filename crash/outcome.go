package crash

import (
	"math"
	"slices"
	"time"
)

const (
	// maxOutcomes bounds the runs whose outcomes are remembered.
	maxOutcomes = 256
	// minOutcomes is the least number of runs without a segment with which its own are compared.
	minOutcomes = 10
	// outcomeDiscount is subtracted from the surprisal of runs without an answer, because runs that end at
	// one time have common causes.
	outcomeDiscount = 2.3
)

// outcome is how a run of a request with segments ended at this entry.
type outcome struct {
	sent time.Time
	// begun is true if the instance began to answer, false if it terminated before.
	begun    bool
	segments []Digest
}

// outcomes holds the latest outcomes.
type outcomes struct {
	ring []outcome
	next int
}

func (o *outcomes) add(one outcome) {
	if len(o.ring) < maxOutcomes {
		o.ring = append(o.ring, one)
		return
	}
	o.ring[o.next] = one
	o.next = (o.next + 1) % maxOutcomes
}

// unansweredSurprisal returns the negative logarithm of the probability that n runs with a segment all
// end without an answer that has begun, if they end like those without it that were sent since the given
// time. It is zero if there are too few of these, or if an answer with the segment began.
func (g *Registry) unansweredSurprisal(d Digest, n int, since time.Time) float64 {
	begun, ended := 0, 0
	for _, o := range g.observed.outcomes.items {
		if o.own || o.at.Before(since) {
			continue
		}
		has := o.has(d)
		switch {
		case has && o.Outcome == OutcomeEnded:
		case has:
			return 0
		case o.Outcome == OutcomeBegun:
			begun++
		default:
			ended++
		}
	}
	for _, one := range g.outcomes.ring {
		if one.sent.Before(since) {
			continue
		}
		has := slices.Contains(one.segments, d)
		switch {
		case has && !one.begun:
		case has:
			return 0
		case one.begun:
			begun++
		default:
			ended++
		}
	}
	if begun+ended < minOutcomes {
		return 0
	}
	share := float64(ended+1) / float64(begun+ended+2)
	return max(0, -float64(n)*math.Log(share)-outcomeDiscount)
}
