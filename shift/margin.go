package shift

import (
	"cmp"
	"slices"
	"time"
)

const (
	// spansKept is how many switches Margin remembers at most: the longest of them bounds nearly all of those to come.
	spansKept = 16
	// spansLeast is how many it remembers however old they are, for groups that switch seldom.
	spansLeast = 4
	// spanTime is how long it remembers more than those: orders that went unanswered for a while say nothing of the time after it.
	spanTime = 5 * time.Second
	// stepsOver is the least time over which the time of a step is taken: several steps, seen with a jitter of some 20 ms.
	stepsOver = 500 * time.Millisecond
)

// Margin learns how many steps ahead a hold has to lie so that all ranks are armed, and the hold let go, before the group comes to it. A hold that
// is too near stops every stream of the group; each step that it is too far makes a switch later by that step. Its zero
// value has seen nothing.
type Margin struct {
	// spans are the newest switches, the oldest first.
	spans []span
	// step is the time of a step, zero before it was seen.
	step time.Duration
	// first and last are the steps over which the next time is taken, seen to have begun at firstAt and lastAt.
	first, last     int64
	firstAt, lastAt time.Time
}

// span is how long a switch took from the order to hold to the end of the hold, and when it ended.
type span struct {
	took time.Duration
	at   time.Time
}

// Stepped takes the last step that the group has begun, as often as it is looked at.
func (m *Margin) Stepped(now time.Time, step int64) {
	if step < m.last || now.Sub(m.lastAt) > stepsOver {
		// The group has formed anew, or it rested.
		m.first, m.firstAt = step, now
		m.last, m.lastAt = step, now
		return
	}
	if step == m.last {
		return
	}
	m.last, m.lastAt = step, now
	if past := m.lastAt.Sub(m.firstAt); past >= stepsOver {
		m.take(past / time.Duration(m.last-m.first))
		m.first, m.firstAt = step, now
	}
}

// take averages the time of a step over some seconds, in which batches come and go.
func (m *Margin) take(step time.Duration) {
	if m.step == 0 {
		m.step = step
		return
	}
	m.step += (step - m.step) / 4
}

// Switched takes how long a switch that ends now took from the order to hold to the end of the hold.
func (m *Margin) Switched(now time.Time, took time.Duration) {
	m.spans = append(m.spans, span{
		took: took,
		at:   now,
	})
	m.forget(now)
}

// forget drops the switches that say nothing of the next one.
func (m *Margin) forget(now time.Time) {
	for len(m.spans) > spansKept || len(m.spans) > spansLeast && now.Sub(m.spans[0].at) > spanTime {
		m.spans = slices.Delete(m.spans, 0, 1)
	}
}

// Ahead returns how many steps ahead the next hold has to lie.
func (m *Margin) Ahead(now time.Time) int64 {
	m.forget(now)
	if m.step <= 0 || len(m.spans) == 0 {
		return AheadLossy
	}
	longest := slices.MaxFunc(m.spans, func(a, b span) int { return cmp.Compare(a.took, b.took) }).took
	// The step after the last one begun may begin at once.
	ahead := 1 + (longest+m.step-1)/m.step
	return min(max(int64(ahead), Ahead), AheadMost)
}
