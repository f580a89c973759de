package gate

import (
	"sync"
	"time"

	"geraniumpass/loads"
	"geraniumpass/pool"
)

// elapsedDeadline is a deadline that makes a pending read fail at once.
var elapsedDeadline = time.Unix(1, 0)

// departure lets an attempt that waits for data be asked to leave its instance. The attempt itself
// decides whether it can, since only its goroutine knows the state of the request. An attempt that
// does not wait is not asked: its instance is sending.
type departure struct {
	placement loads.Placement
	service   string

	mu      sync.Mutex
	conn    *pool.Conn
	waiting bool
	reason  loads.Reason
	drawnAt time.Time
}

// startWait sets the deadline of the wait that begins.
func (d *departure) startWait(deadline time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.waiting = true
	_ = d.conn.SetDeadline(deadline)
}

// endWait ends a wait, and returns the reason for which the attempt was asked to leave meanwhile,
// empty if it was not asked.
func (d *departure) endWait() loads.Reason {
	d.mu.Lock()
	defer d.mu.Unlock()
	reason := d.reason
	d.waiting = false
	d.reason = ""
	return reason
}

// ask makes the pending wait of the attempt end, if there is one.
func (d *departure) ask(reason loads.Reason) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.waiting {
		return
	}
	d.reason = reason
	_ = d.conn.SetDeadline(elapsedDeadline)
}

// isDue reports whether the attempt may be decided on at now.
func (d *departure) isDue(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.waiting && now.Sub(d.drawnAt) >= moveDecisionInterval
}

// recordDraw records that the attempt was decided on at now.
func (d *departure) recordDraw(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.drawnAt = now
}
