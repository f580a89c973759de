package queue

import "time"

// Item is a waiting attempt.
type Item struct {
	ID      uint64
	Class   string
	Account string
	// LatencyTarget is the latency target of the class; classes with tighter targets go first.
	LatencyTarget time.Duration
	// Due is the time by which the attempt should be answered to meet the class's target.
	Due time.Time
	// Expires is the caller's deadline; the item is dropped when it passes.
	Expires time.Time
	// Cost is the expected work in units of the upstream: tokens for a model, one for a plain call.
	Cost float64

	seq uint64
}
