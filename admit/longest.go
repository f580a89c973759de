package admit

import (
	"math"
	"slices"
	"time"
)

const (
	// longestWindow is the period whose longest steps count, but for a few. It spans a change of the
	// experts in demand, after which steps are longer for a while: a stream runs through several of them.
	longestWindow  = 3 * time.Second
	sampleInterval = 60 * time.Millisecond
	maxLongest     = int(longestWindow/sampleInterval) + 1
	// longQuantile is the quantile of the step times that counts.
	longQuantile = 0.9
	// minLongest is how many samples are needed.
	minLongest = 5
	// longestMemory is the time constant in which the unevenness goes down; it goes up at once.
	longestMemory = 15 * time.Second
	// busyShare is the share of the slots that has to run for a step time to be a sample. With few
	// requests, single ranks that run more than the others look like unevenness.
	busyShare = 0.5
)

// longest is the unevenness of a group during its longest steps.
type longest struct {
	samples    []sample
	unevenness float64
	// step is the step time at the quantile of the present samples.
	step      time.Duration
	learnedAt time.Time
}

// add takes the step time of a status made at the given time.
func (l *longest) add(at time.Time, terms engineTerms, g Group) {
	for len(l.samples) > 0 && at.Sub(l.samples[0].at) > longestWindow {
		l.samples = slices.Delete(l.samples, 0, 1)
	}
	n := len(l.samples)
	if n > 0 && at.Sub(l.samples[n-1].at) < sampleInterval || float64(g.Running) < busyShare*float64(terms.slots*g.Ranks) {
		return
	}
	if n == maxLongest {
		l.samples = slices.Delete(l.samples, 0, 1)
	}
	l.samples = append(l.samples, sample{
		at:         at,
		step:       g.StepTime,
		unevenness: terms.unevenness(g.StepTime, float64(g.Running)/float64(g.Ranks)),
	})
	if len(l.samples) >= minLongest {
		l.learn(at)
	}
}

func (l *longest) learn(at time.Time) {
	var values [maxLongest]float64
	var steps [maxLongest]time.Duration
	n := len(l.samples)
	for i, s := range l.samples {
		values[i], steps[i] = s.unevenness, s.step
	}
	slices.Sort(values[:n])
	slices.Sort(steps[:n])
	long := int(longQuantile * float64(n-1))
	seen := values[long]
	l.step = steps[long]
	since := at.Sub(l.learnedAt)
	l.learnedAt = at
	if seen > l.unevenness {
		l.unevenness = seen
		return
	}
	l.unevenness += (1 - math.Exp(-since.Seconds()/longestMemory.Seconds())) * (seen - l.unevenness)
}
