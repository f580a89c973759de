package queue

import "time"

const (
	initialLimit = 8
	minLimit     = 1
	maxLimit     = 512
	// tolerance is how much slower than unloaded a unit of work may get before the limit goes down.
	tolerance = 2.0
	backOff   = 0.9
	// lonely is the limit at which attempts hardly slow each other down.
	lonely = 2
	// enoughSamples are needed before the limit changes again.
	enoughSamples = 4
	smoothing     = 0.1
	// baselineDrift lets the unloaded time follow an upstream that has become slower for good, by this share a sample.
	baselineDrift = 0.0005
)

// Limiter learns how many attempts an upstream runs at once before its time for a unit of work suffers.
type Limiter struct {
	limit    float64
	baseline float64
	unit     float64
	// changed is when the limit last changed; recent is the mean of what began after that.
	changed time.Time
	recent  float64
	samples int
}

// NewLimiter returns a limiter that has seen nothing.
func NewLimiter() *Limiter {
	return &Limiter{limit: initialLimit}
}

// Observe records one finished attempt: its cost, its time, and whether others waited meanwhile.
func (l *Limiter) Observe(now time.Time, cost float64, took time.Duration, waiting bool) {
	unit := took.Seconds() / max(cost, 1)
	if l.unit == 0 {
		l.unit, l.baseline = unit, unit
	}
	l.unit += smoothing * (unit - l.unit)
	l.baseline = min(unit, l.baseline)
	if !waiting || l.limit <= lonely {
		// Only an upstream that isn't crowded shows how fast it is unloaded.
		l.baseline = min(unit, l.baseline*(1+baselineDrift))
	}
	if now.Add(-took).Before(l.changed) {
		// It began under another limit: judged by it, the limit would be lowered again and again for one and the same crowd.
		return
	}
	l.samples++
	l.recent += (unit - l.recent) / float64(l.samples)
	if l.samples < enoughSamples {
		return
	}
	switch {
	case l.recent > tolerance*l.baseline:
		l.set(now, max(minLimit, l.limit*backOff))
	case waiting:
		l.set(now, min(maxLimit, l.limit+max(1, l.limit/8)))
	}
}

func (l *Limiter) set(now time.Time, limit float64) {
	l.limit = limit
	l.changed = now
	l.recent = 0
	l.samples = 0
}

// Limit returns how many attempts may run at once.
func (l *Limiter) Limit() int {
	return int(l.limit)
}

// Drain returns the cost units a second that the upstream serves at the limit, or zero while nothing was seen.
func (l *Limiter) Drain() float64 {
	if l.unit == 0 {
		return 0
	}
	return l.limit / l.unit
}

// Unit returns the smoothed seconds that one unit of work takes.
func (l *Limiter) Unit() float64 {
	return l.unit
}
