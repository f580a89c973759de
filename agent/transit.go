package agent

import (
	"sync"
	"time"

	"geraniumpass/wire"
)

// transitTracker estimates how long messages were delayed in transit. The monotonic clocks of two
// processes have different origins but run at the same rate, so the difference between receive time
// and send time is constant apart from the transit time. The smallest difference seen on a link
// marks an undelayed message; any excess is delay, for instance in a partitioned link or next to a
// paused process.
type transitTracker struct {
	mu         sync.Mutex
	start      time.Time
	minOffsets map[*wire.Link]time.Duration
}

func newTransitTracker(start time.Time) *transitTracker {
	return &transitTracker{
		start:      start,
		minOffsets: make(map[*wire.Link]time.Duration),
	}
}

// delay returns how much longer a message was in transit than the fastest one on its link. The send
// time is measured on the sender's clock; it is zero when the sender does not report it, and delay
// then returns zero.
func (t *transitTracker) delay(l *wire.Link, sent time.Duration, received time.Time) time.Duration {
	if sent == 0 {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	offset := received.Sub(t.start) - sent
	minOffset, known := t.minOffsets[l]
	if !known || offset < minOffset {
		minOffset = offset
		t.minOffsets[l] = minOffset
	}
	return offset - minOffset
}

// remove discards the state of a closed link.
func (t *transitTracker) remove(l *wire.Link) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.minOffsets, l)
}
