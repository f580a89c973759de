package admit

import (
	"math"
	"time"
)

const (
	// maxRank is the lowest priority that is told apart.
	maxRank = 7
	// starvationShare is the share of the mean admission that each kind of request has at least.
	starvationShare = 0.5
	// turnHalfLife is the half-life of the recent numbers of requests by place.
	turnHalfLife = 3 * time.Second
	// rankMemory is how long a rank counts as in use after its last request.
	rankMemory = 10 * time.Minute
)

// turnOf tells apart requests of one rank, the first in turn first.
type turnOf int

const (
	// turnReturned was refused before and is lost if it is refused again.
	turnReturned turnOf = iota
	turnTimely
	turnLate
	// turnExcess is beyond the fair share of its account.
	turnExcess
	turnsPerRank
)

const places = (maxRank + 1) * int(turnsPerRank)

// place returns the position of a kind of request in the order of admission.
func place(rank int, turn turnOf) int {
	return rank*int(turnsPerRank) + int(turn)
}

// turns are the recent numbers of requests at this entry by place.
type turns struct {
	updatedAt time.Time
	counts    [places]float64
	usedAt    [maxRank + 1]time.Time
	// gaps are the shortest pauses that requests have allowed lately, the last of them at gapAt.
	gaps  [maxRank + 1]time.Duration
	gapAt [maxRank + 1]time.Time
}

// add records a request.
func (t *turns) add(now time.Time, rank int, turn turnOf, gap time.Duration) {
	if since := now.Sub(t.updatedAt); since > 0 {
		decay := math.Exp2(-since.Seconds() / turnHalfLife.Seconds())
		for i := range t.counts {
			t.counts[i] *= decay
		}
		t.updatedAt = now
	}
	t.counts[place(rank, turn)]++
	if gap > 0 && (t.gaps[rank] == 0 || gap <= t.gaps[rank] || now.Sub(t.gapAt[rank]) > accountHalfLife) {
		t.gaps[rank] = gap
		t.gapAt[rank] = now
	}
	t.usedAt[rank] = now
}

// gap returns the shortest pause between events that requests of the rank or of a higher one have
// allowed recently: those of a lower rank must not fill a group beyond it.
func (t *turns) gap(now time.Time, rank int, gap time.Duration) time.Duration {
	for i := 0; i <= rank; i++ {
		if t.gaps[i] > 0 && now.Sub(t.gapAt[i]) < accountHalfLife && (gap <= 0 || t.gaps[i] < gap) {
			gap = t.gaps[i]
		}
	}
	return gap
}

// admitted returns the probability with which a request at the given place is admitted, so that the
// given share of all is. Each place has starvationShare of it, excess apart; what is left is used up
// in order.
func (t *turns) admitted(share float64, rank int, turn turnOf) float64 {
	total := 0.0
	left := 0.0
	for i, n := range t.counts {
		total += n
		left -= n * floorOf(i, share)
	}
	left += share * total
	p := place(rank, turn)
	for i := 0; i < p; i++ {
		left -= t.counts[i] * (1 - floorOf(i, share))
	}
	floor := floorOf(p, share)
	need := t.counts[p] * (1 - floor)
	if left <= 0 || need <= 0 {
		return floor
	}
	return floor + (1-floor)*min(left/need, 1)
}

// floorOf returns the least probability of a place.
func floorOf(place int, share float64) float64 {
	if turnOf(place%int(turnsPerRank)) == turnExcess {
		return 0
	}
	return starvationShare * share
}
