package accept

import (
	"time"
)

const (
	// minReadingAge is how long a client may make no progress with its body before others come first.
	minReadingAge = time.Second
	// minUnservedAge is how long a new client may take for its first request before idle ones are closed.
	minUnservedAge = time.Second
	// minStallAge is how long a client may read nothing of its answer before others come first.
	minStallAge = 5 * time.Second
)

// usefulness orders connections by what closing them takes from their clients; lower ones are closed first.
type usefulness uint8

const (
	usefulnessRefused usefulness = iota
	usefulnessUnserved
	usefulnessIdle
	usefulnessRecent
	usefulnessBody
	usefulnessStalled
	// usefulnessKept connections are never closed: their requests may have been passed on.
	usefulnessKept
)

// rank returns how useful a connection is and since when. The caller holds no lock.
func (c *Conn) rank(now time.Time) (usefulness, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	age := now.Sub(c.since)
	switch {
	case c.phase == phaseRefused:
		return usefulnessRefused, c.since
	case c.phase == phaseHandshake, c.phase == phaseWaiting && (!c.served || c.intake.started):
		if age >= minUnservedAge {
			return usefulnessUnserved, c.since
		}
		return usefulnessRecent, c.since
	case c.phase == phaseWaiting:
		return usefulnessIdle, c.since
	case c.phase == phaseReading && age >= minReadingAge:
		return usefulnessBody, c.since
	case !c.writingSince.IsZero() && now.Sub(c.writingSince) >= minStallAge:
		return usefulnessStalled, c.writingSince
	}
	return usefulnessKept, c.since
}

// evict closes the least useful connection, the oldest of several. It returns false if none can be closed.
func (l *Listener) evict(minCharge int64) bool {
	return l.evictExcept(nil, minCharge)
}

// evictHolder closes the least useful connection other than c that holds bytes of the budget.
func (l *Listener) evictHolder(c *Conn) bool {
	return l.evictExcept(c, 1)
}

func (l *Listener) evictExcept(kept *Conn, minCharge int64) bool {
	now := l.now()
	var victim *Conn
	lowest, oldest := usefulnessKept, time.Time{}
	l.mu.Lock()
	for c := range l.conns {
		if c == kept || c.heldBytes() < minCharge {
			continue
		}
		u, since := c.rank(now)
		if minCharge > 0 && u == usefulnessRecent {
			// A client that is still sending comes before others that only begin.
			continue
		}
		if u < lowest || u == lowest && u != usefulnessKept && since.Before(oldest) {
			victim, lowest, oldest = c, u, since
		}
	}
	l.mu.Unlock()
	if victim == nil || lowest == usefulnessKept {
		return false
	}
	l.recordClosed("evicted", nil)
	_ = victim.discard()
	return true
}

func (c *Conn) heldBytes() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.charged
}
