package queue

import "time"

const (
	initialLimit = 8
	minLimit     = 1
	maxLimit     = 512
	// slowdownTolerance is the ratio of the time per unit of work to its unloaded baseline above
	// which the limit is lowered.
	slowdownTolerance = 2.0
	decreaseFactor    = 0.9
	// uncontendedLimit is the limit at which attempts hardly slow each other down.
	uncontendedLimit = 2
	// minSamples is the number of samples needed before the limit changes again.
	minSamples = 4
	// smoothing is the weight of one sample in the moving average of the time per unit of work.
	smoothing = 0.1
	// baselineDrift is the share by which the baseline may grow per sample, so that it follows an
	// upstream that has become permanently slower.
	baselineDrift = 0.0005
)

// Limiter learns how many attempts an upstream can run concurrently before its time per unit of
// work degrades.
type Limiter struct {
	limit    float64
	baseline float64
	unitTime float64
	// changedAt is when the limit last changed; recentUnitTime is the mean over the attempts that
	// began after that.
	changedAt      time.Time
	recentUnitTime float64
	samples        int
}

// NewLimiter returns a limiter without samples.
func NewLimiter() *Limiter {
	return &Limiter{limit: initialLimit}
}

// Observe records a finished attempt: its cost, its duration, and whether others waited meanwhile.
func (l *Limiter) Observe(now time.Time, cost float64, took time.Duration, waiting bool) {
	unit := took.Seconds() / max(cost, 1)
	if l.unitTime == 0 {
		l.unitTime, l.baseline = unit, unit
	}
	l.unitTime += smoothing * (unit - l.unitTime)
	l.baseline = min(unit, l.baseline)
	if !waiting || l.limit <= uncontendedLimit {
		// The baseline can only be observed on an upstream that isn't congested.
		l.baseline = min(unit, l.baseline*(1+baselineDrift))
	}
	if now.Add(-took).Before(l.changedAt) {
		// It began under another limit: counting it would lower the limit repeatedly for the same
		// congestion.
		return
	}
	l.samples++
	l.recentUnitTime += (unit - l.recentUnitTime) / float64(l.samples)
	if l.samples < minSamples {
		return
	}
	switch {
	case l.recentUnitTime > slowdownTolerance*l.baseline:
		l.set(now, max(minLimit, l.limit*decreaseFactor))
	case waiting:
		l.set(now, min(maxLimit, l.limit+max(1, l.limit/8)))
	}
}

func (l *Limiter) set(now time.Time, limit float64) {
	l.limit = limit
	l.changedAt = now
	l.recentUnitTime = 0
	l.samples = 0
}

// Limit returns how many attempts may run concurrently.
func (l *Limiter) Limit() int {
	return int(l.limit)
}

// DrainRate returns the cost units per second that the upstream serves at the limit, or zero
// without samples.
func (l *Limiter) DrainRate() float64 {
	if l.unitTime == 0 {
		return 0
	}
	return l.limit / l.unitTime
}

// UnitTime returns the smoothed time per unit of work, in seconds.
func (l *Limiter) UnitTime() float64 {
	return l.unitTime
}
