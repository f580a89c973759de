package queue

import "time"

// Capacity is what an upstream can take at a moment.
type Capacity struct {
	// Running attempts of at most Limit, with their cost.
	Running int
	Limit   int
	Cost    float64
	// Drain is the cost served a second with the limit in use, zero while unknown.
	Drain float64
}

// Slot predicts how long it takes until the next attempt may start: nothing while there is room, else the least of the
// remaining times of those that run, which for evenly spread ends is a part of the limit of what they take together.
func (c Capacity) Slot() time.Duration {
	if c.Running < c.Limit || c.Drain <= 0 || c.Limit <= 0 {
		return 0
	}
	return time.Duration(c.Cost / c.Drain / float64(c.Limit) * float64(time.Second))
}
