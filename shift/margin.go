package shift

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxSamples is the maximum number of switches remembered: the longest of them bounds nearly
	// all later ones.
	maxSamples = 16
	// minSamples is the number of switches kept regardless of age, for groups that switch rarely.
	minSamples = 4
	// sampleTTL is the age limit of the samples beyond minSamples: a period of lost orders says
	// nothing about the time after it.
	sampleTTL = 5 * time.Second
	// stepWindow is the minimum period over which the step time is averaged: several steps, since
	// observations jitter by about 20 ms.
	stepWindow = 500 * time.Millisecond
)

// Margin estimates how many steps ahead a hold must lie so that all ranks are armed, and the hold
// is released, before the group reaches it. A hold that is too near stalls every stream of the
// group; each step that it is too far delays the switch by that step. The zero value has no
// samples.
type Margin struct {
	// samples holds the latest switches, oldest first.
	samples []switchSample
	// stepTime is the average time per step, zero before it is known.
	stepTime time.Duration
	// The next average covers firstStep to lastStep, observed at firstAt and lastAt.
	firstStep, lastStep int64
	firstAt, lastAt     time.Time
}

// switchSample is the time from a hold order to the release of the hold, and when the hold was
// released.
type switchSample struct {
	duration time.Duration
	endedAt  time.Time
}

// ObserveStep records the last step that the group has begun; it may be called repeatedly with the
// same step.
func (m *Margin) ObserveStep(now time.Time, step int64) {
	if step < m.lastStep || now.Sub(m.lastAt) > stepWindow {
		// The group has re-formed or was idle.
		m.firstStep, m.firstAt = step, now
		m.lastStep, m.lastAt = step, now
		return
	}
	if step == m.lastStep {
		return
	}
	m.lastStep, m.lastAt = step, now
	if elapsed := m.lastAt.Sub(m.firstAt); elapsed >= stepWindow {
		m.addStepTime(elapsed / time.Duration(m.lastStep-m.firstStep))
		m.firstStep, m.firstAt = step, now
	}
}

// addStepTime updates the moving average of the step time, which spans a few seconds to smooth the
// effect of batches.
func (m *Margin) addStepTime(step time.Duration) {
	if m.stepTime == 0 {
		m.stepTime = step
		return
	}
	m.stepTime += (step - m.stepTime) / 4
}

// ObserveSwitch records a switch that ends now, with the time from the hold order to the release of
// the hold.
func (m *Margin) ObserveSwitch(now time.Time, duration time.Duration) {
	m.samples = append(m.samples, switchSample{
		duration: duration,
		endedAt:  now,
	})
	m.evictSamples(now)
}

// evictSamples drops switches that are too many or too old to predict the next one.
func (m *Margin) evictSamples(now time.Time) {
	for len(m.samples) > maxSamples || len(m.samples) > minSamples && now.Sub(m.samples[0].endedAt) > sampleTTL {
		m.samples = slices.Delete(m.samples, 0, 1)
	}
}

// Ahead returns how many steps ahead the next hold must lie.
func (m *Margin) Ahead(now time.Time) int64 {
	m.evictSamples(now)
	if m.stepTime <= 0 || len(m.samples) == 0 {
		return MinAheadLossy
	}
	longest := slices.MaxFunc(m.samples, func(a, b switchSample) int { return cmp.Compare(a.duration, b.duration) }).duration
	// The step after the last one begun may begin immediately.
	ahead := 1 + (longest+m.stepTime-1)/m.stepTime
	return min(max(int64(ahead), MinAhead), MaxAhead)
}
