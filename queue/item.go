package queue

import "time"

// Item is one waiting attempt.
type Item struct {
	ID      uint64
	Class   string
	Account string
	// Within is the time that the class's target allows; tighter classes go first.
	Within time.Duration
	// Due is the moment by which the class's target wants the attempt answered.
	Due time.Time
	// Expires is the caller's deadline; an item that reaches it is given up.
	Expires time.Time
	// Cost is the expected work in units of the upstream: tokens for a model, one for a plain call.
	Cost float64

	seq uint64
}
