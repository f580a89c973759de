package admit

import "time"

// State is what has become of a ticket.
type State uint8

// The states of a ticket.
const (
	// StateWaiting has neither been sent nor refused.
	StateWaiting State = iota
	// StateSent may go to an upstream now.
	StateSent
	// StateRefused can't be served in time.
	StateRefused
	// StateOver has begun, failed or left.
	StateOver
)

// Ask is what a request says when it comes to a line.
type Ask struct {
	// Aim is the time within which its class is to begin.
	Aim time.Duration
	// OnTime is until when a beginning is on time, counted from when its caller first asked.
	OnTime time.Time
	// Leave is when it must have been sent, or its caller would leave before it begins.
	Leave time.Time
	// Again is true for a request that an upstream has refused or failed before.
	Again bool
}

// Ticket is a request in a line.
type Ticket struct {
	Ask
	// Decided is closed when the ticket leaves StateWaiting by the line's decision.
	Decided chan struct{}

	state State
	sent  time.Time
}

// State returns what has become of the ticket.
func (t *Ticket) State() State {
	return t.state
}

func (t *Ticket) decide(s State) {
	t.state = s
	close(t.Decided)
}

// before returns true for a ticket that goes before another: what can still be on time before what can't, then what is due first.
func (t *Ticket) before(o *Ticket, begins time.Time) bool {
	a, b := t.timely(begins), o.timely(begins)
	switch {
	case a != b:
		return a
	case a:
		return t.OnTime.Before(o.OnTime)
	}
	return t.Leave.Before(o.Leave)
}

// timely returns true when a request that begins then is on time.
func (t *Ticket) timely(begins time.Time) bool {
	return !begins.After(t.OnTime)
}
