package queue

import "time"

// Capacity is the load and throughput of an upstream at one moment.
type Capacity struct {
	// Running is the number of attempts that run, of at most Limit; Cost is their total cost.
	Running int
	Limit   int
	Cost    float64
	// DrainRate is the cost served per second at the present limit, or zero while unknown.
	DrainRate float64
}

// SlotWait predicts the time until a slot is free. It returns zero while there is a free slot, and
// otherwise the shortest remaining time of the running attempts: with evenly spread ends, that is
// the time for their total cost divided by the limit.
func (c Capacity) SlotWait() time.Duration {
	if c.Running < c.Limit || c.DrainRate <= 0 || c.Limit <= 0 {
		return 0
	}
	return time.Duration(c.Cost / c.DrainRate / float64(c.Limit) * float64(time.Second))
}
