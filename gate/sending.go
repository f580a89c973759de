package gate

import "time"

// AttemptInfo holds the metadata that one attempt adds to the caller's request.
type AttemptInfo struct {
	Instance string
	// Remaining is the time left for the answer.
	Remaining time.Duration
	// Account is the client account's name, empty if none.
	Account string
	// Late reports whether the answer can't begin in time any more, so that other requests take
	// precedence.
	Late bool
	// LastEvent is the number of the last event delivered, negative if none.
	LastEvent int64
}
