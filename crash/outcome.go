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
	// outcomeDiscount is subtracted from the surprisal of unanswered runs, because runs that end at one
	// time have common causes.
	outcomeDiscount = 2.3
)

// outcome is how a run of a request with segments ended at this entry.
type outcome struct {
	sent time.Time
	// answered is true if the answer made progress, false if the instance terminated before.
	answered bool
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
// end unanswered, if they end like those without it that were sent since the given time. It is zero if
// there are too few of these.
func (o *outcomes) unansweredSurprisal(d Digest, n int, since time.Time) float64 {
	answered, unanswered := 0, 0
	for _, one := range o.ring {
		switch {
		case one.sent.Before(since) || slices.Contains(one.segments, d):
		case one.answered:
			answered++
		default:
			unanswered++
		}
	}
	if answered+unanswered < minOutcomes {
		return 0
	}
	share := float64(unanswered+1) / float64(answered+unanswered+2)
	return max(0, -float64(n)*math.Log(share)-outcomeDiscount)
}
