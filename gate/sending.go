package gate

import "time"

// AttemptInfo holds the metadata that one attempt adds to the caller's request.
type AttemptInfo struct {
	Instance string
	// Remaining is the time left for the answer.
	Remaining time.Duration
	// Account is the client account's name, empty if none.
	Account string
	// Urgency is the priority at the engine from 0, the first, to 9; admit.DefaultUrgency is what
	// engines assume.
	Urgency int
	// LastEvent is the number of the last event delivered, negative if none.
	LastEvent int64
}
