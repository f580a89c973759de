package accept

import (
	"math"
	"time"
)

const (
	// sweepInterval is the pause between two checks of all connections.
	sweepInterval = time.Second
	// stallTime is how long a client may read nothing of its answer.
	stallTime = 30 * time.Second
	// refusalTime is how long a refusal may take to reach its client.
	refusalTime = 500 * time.Millisecond
	// handshakeTime is how long the peer of a link may take to authenticate itself.
	handshakeTime = 10 * time.Second
	// bodyTime is how long a client may take for a body that is read before its handler, or make no progress
	// with another one.
	bodyTime = time.Minute
)

func (l *Listener) sweepUntilClosed() {
	t := l.cfg.Clock.NewTicker(sweepInterval)
	defer t.Stop()
	for {
		select {
		case <-l.done:
			// Connections that outlive the listener end with their requests.
			return
		case <-t.Chan():
			l.sweep()
		}
	}
}

// sweep closes the connections whose clients take longer than they may.
func (l *Listener) sweep() {
	now, limits := l.now(), l.limits()
	var late []*Conn
	l.mu.Lock()
	for c := range l.conns {
		if c.isLate(now, limits) {
			late = append(late, c)
		}
	}
	l.mu.Unlock()
	for _, c := range late {
		c.closeLate()
	}
}

// isLate reports whether a client has exceeded the time of its phase.
func (c *Conn) isLate(now time.Time, limits Limits) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.writingSince.IsZero() && now.Sub(c.writingSince) > stallTime {
		return true
	}
	return now.Sub(c.since) > c.allowed(limits)
}

// allowed returns how long the phase may last. The caller holds mu.
func (c *Conn) allowed(limits Limits) time.Duration {
	switch c.phase {
	case phaseRefused:
		return refusalTime
	case phaseHandshake:
		return handshakeTime
	case phaseReading:
		return bodyTime
	case phaseWaiting:
		if c.intake.whole {
			return bodyTime
		}
		if c.served && !c.intake.started {
			return limits.idleTime()
		}
		return limits.headTime()
	}
	// Handlers bound how long their requests run.
	return time.Duration(math.MaxInt64)
}

// closeLate closes a connection whose client is late.
func (c *Conn) closeLate() {
	if !c.isRefused() {
		c.l.recordClosed("late", nil)
	}
	_ = c.discard()
}
