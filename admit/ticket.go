package admit

import "time"

// State is the state of a ticket.
type State uint8

// The states of a ticket.
const (
	// StateWaiting means that the request has been neither sent nor rejected yet.
	StateWaiting State = iota
	// StateSent means that the request may go to an upstream now.
	StateSent
	// StateRejected means that the request can't be served in time.
	StateRejected
	// StateDone means that the request has started, failed or been canceled.
	StateDone
)

// Request holds the timing requirements of a request.
type Request struct {
	// Target is the time within which requests of its class should start.
	Target time.Duration
	// StartBy is the latest start that is on time, counted from the caller's first attempt.
	StartBy time.Time
	// SendBy is the time by which the request must be sent; its caller would disconnect before a
	// later one starts.
	SendBy time.Time
	// Retry reports whether an upstream has refused or failed the request before.
	Retry bool
}

// Ticket is a request submitted to a Controller.
type Ticket struct {
	Request
	// Decided is closed when the controller sends or rejects the request.
	Decided chan struct{}

	state  State
	sentAt time.Time
}

// State returns the current state of the ticket.
func (t *Ticket) State() State {
	return t.state
}

func (t *Ticket) decide(s State) {
	t.state = s
	close(t.Decided)
}

// before reports whether t goes before o: requests that can still be on time go first, then the one
// with the earlier deadline.
func (t *Ticket) before(o *Ticket, start time.Time) bool {
	a, b := t.canStartInTime(start), o.canStartInTime(start)
	switch {
	case a != b:
		return a
	case a:
		return t.StartBy.Before(o.StartBy)
	}
	return t.SendBy.Before(o.SendBy)
}

// canStartInTime reports whether a request that starts at the given time is on time.
func (t *Ticket) canStartInTime(start time.Time) bool {
	return !start.After(t.StartBy)
}
