package shift

import (
	"slices"
	"time"
)

const (
	// spansKept is how many switches Margin remembers: the longest of them bounds 15 in 16 of those to come, and one bad one is
	// forgotten within a few seconds of turns.
	spansKept = 16
	// stepsOver is the least time over which the time of a step is taken: several steps, seen with a jitter of some 20 ms.
	stepsOver = 500 * time.Millisecond
)

// Margin learns how many steps ahead a hold has to lie so that all ranks are armed, and the hold let go, before the group comes to it. A hold that
// is too near stops every stream of the group; each step that it is too far makes a switch later by that step. Its zero
// value has seen nothing.
type Margin struct {
	// spans are how long the newest switches took from the order to hold to the end of the hold.
	spans []time.Duration
	// step is the time of a step, zero before it was seen.
	step time.Duration
	// first and last are the steps over which the next time is taken, seen to have begun at firstAt and lastAt.
	first, last     int64
	firstAt, lastAt time.Time
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

// Switched takes how long a switch took from the order to hold to the end of the hold.
func (m *Margin) Switched(took time.Duration) {
	m.spans = append(m.spans, took)
	if len(m.spans) > spansKept {
		m.spans = slices.Delete(m.spans, 0, 1)
	}
}

// Ahead returns how many steps ahead the next hold has to lie.
func (m *Margin) Ahead() int64 {
	if m.step <= 0 || len(m.spans) == 0 {
		return AheadLossy
	}
	longest := slices.Max(m.spans)
	// The step after the last one begun may begin at once.
	ahead := 1 + (longest+m.step-1)/m.step
	return min(max(int64(ahead), Ahead), AheadMost)
}
