package gate

import "time"

// Sending is what one attempt at an upstream adds to the caller's request.
type Sending struct {
	Instance string
	// Left is the time that remains for the answer.
	Left time.Duration
	// Account is the client account's name, empty without one.
	Account string
	// Late is true when the answer can't begin in time any more, so that others go first.
	Late bool
	// LastEvent is the last event delivered, negative when there is none.
	LastEvent int64
}
