package place

import (
	"math"
	"slices"
	"time"
)

const (
	// noiseDistance is the usual distance between recent and earlier counts under stable
	// popularity, as a share of all choices, because requests differ.
	noiseDistance = 0.12
	// shiftDistance is the distance from which popularity has shifted and earlier counts are
	// discarded. The shifts of real traffic change half of all choices.
	shiftDistance = 0.25
	// recentHalfLife is the half-life of the counts that reveal a shift: about a step of a group.
	recentHalfLife = 60 * time.Millisecond
	// shiftSettleTime is how long counts must agree for a shift to be over: several reports of a
	// group's ranks, which then arrive every few milliseconds.
	shiftSettleTime = 30 * time.Millisecond
	// maxShiftTime bounds the duration of a shift: two steps, within which every rank has counted
	// the new choices.
	maxShiftTime = 130 * time.Millisecond
)

// Demand estimates the popularity of experts from the counts that ranks report. Popularity is
// stable for seconds and then shifts within a step, so Demand averages counts while recent ones
// agree with earlier ones, and discards the earlier ones when they don't.
type Demand struct {
	// HalfLife is the half-life of counts under stable popularity.
	HalfLife time.Duration
	// Ranks is the number of ranks that report. They vote for shifts if they are minVoters or more.
	Ranks int

	vote shiftVote
	// votedAt is when the ranks last voted for a shift.
	votedAt time.Time

	weights []float64
	recent  []float64
	updated time.Time
	// lastChange is when counts last differed from earlier ones, and shiftStart when they began to.
	lastChange time.Time
	shiftStart time.Time
}

// Observe adds recent choice counts per expert, set by set, as multiples of unit.
func (d *Demand) Observe(now time.Time, chosen []byte, unit float64) {
	if len(d.weights) != len(chosen) {
		d.weights = make([]float64, len(chosen))
		d.recent = make([]float64, len(chosen))
		d.updated = now
	}
	past := now.Sub(d.updated)
	d.updated = now
	weightsSum := decayAndAdd(d.weights, decayFactor(past, d.currentHalfLife(now)), chosen, unit)
	recentSum := decayAndAdd(d.recent, decayFactor(past, recentHalfLife), chosen, unit)
	if d.isVoted(now, chosen, unit) {
		return
	}
	if change := variation(d.weights, d.recent, weightsSum, recentSum); change > noiseDistance {
		d.discountOld(min(1, (change-noiseDistance)/(shiftDistance-noiseDistance)))
		if now.Sub(d.lastChange) > shiftSettleTime {
			d.shiftStart = now
		}
		d.lastChange = now
	}
}

// isVoted reports whether this report makes the ranks' votes a shift, and replaces all counts by
// those of the votes if so.
func (d *Demand) isVoted(now time.Time, chosen []byte, unit float64) bool {
	if d.Ranks < minVoters {
		return false
	}
	sum := d.vote.observe(now, chosen, unit, d.Ranks, d.HalfLife)
	if sum == nil {
		return false
	}
	d.weights, d.recent = sum, slices.Clone(sum)
	d.lastChange, d.votedAt = now, now
	return true
}

// Shifting reports whether popularity is shifting, so that the counts mix old and new popularity
// and a better estimate is due soon.
func (d *Demand) Shifting(now time.Time) bool {
	if !d.votedAt.IsZero() && now.Sub(d.votedAt) < maxShiftTime {
		return now.Sub(d.votedAt) < voteSettleTime
	}
	return now.Sub(d.lastChange) < shiftSettleTime && now.Sub(d.shiftStart) < maxShiftTime
}

// currentHalfLife returns the half-life in use. It is short after a shift, because counts from
// around the shift mix both popularities and should decay fast.
func (d *Demand) currentHalfLife(now time.Time) time.Duration {
	if d.lastChange.IsZero() {
		return d.HalfLife
	}
	return min(d.HalfLife, max(recentHalfLife, now.Sub(d.lastChange)/2))
}

// discountOld removes the given fraction of all counts older than the recent ones.
func (d *Demand) discountOld(part float64) {
	for i, f := range d.recent {
		d.weights[i] = f + (1-part)*max(0, d.weights[i]-f)
	}
}

// totalVariation returns the total variation distance between two distributions, or zero if either
// is empty. For counts of several sets with equally many choices each, it is the mean over the
// sets.
func totalVariation(a, b []float64) float64 {
	return variation(a, b, sumOf(a), sumOf(b))
}

// variation is totalVariation with the sums of the distributions.
func variation(a, b []float64, sa, sb float64) float64 {
	if sa <= 0 || sb <= 0 {
		return 0
	}
	out := 0.0
	for i := range a {
		out += math.Abs(a[i]/sa - b[i]/sb)
	}
	return out / 2
}

func sumOf(a []float64) float64 {
	out := 0.0
	for _, v := range a {
		out += v
	}
	return out
}

func decayFactor(past, halfLife time.Duration) float64 {
	return min(1, math.Exp2(-past.Seconds()/halfLife.Seconds()))
}

// scale scales a and returns the sum.
func scale(a []float64, by float64) float64 {
	sum := 0.0
	for i := range a {
		a[i] *= by
		sum += a[i]
	}
	return sum
}

// decayAndAdd scales a, adds counts in multiples of unit and returns the sum, in one pass: a leader does it
// for each report of each rank.
func decayAndAdd(a []float64, by float64, chosen []byte, unit float64) float64 {
	sum := 0.0
	for i, n := range chosen {
		// Without the conversions some processors would round once instead of twice.
		v := float64(a[i]*by) + float64(float64(n)*unit)
		a[i] = v
		sum += v
	}
	return sum
}

// Loads returns the weights by set, or nil if nothing was counted.
func (d *Demand) Loads(sets int) [][]float64 {
	if sumOf(d.weights) <= 0 || sets <= 0 || len(d.weights)%sets != 0 {
		return nil
	}
	each := len(d.weights) / sets
	out := make([][]float64, sets)
	for s := range out {
		out[s] = d.weights[s*each : (s+1)*each]
	}
	return out
}
