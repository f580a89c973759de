package route

import "time"

// Candidate is what an entry knows of one upstream.
type Candidate struct {
	ID     string
	Domain string
	// Queued is the reported waiting cost by class, and Running the cost in progress.
	Queued  []ClassCost
	Running float64
	// Drain is the reported cost units a second, zero while unknown.
	Drain float64
	// Unreported is the cost that this entry has sent or seen finished since the report was made.
	Unreported float64
	// Own is the cost of this entry's own work in flight there.
	Own float64
	// Age is how old the report is.
	Age time.Duration
}

// ClassCost is the waiting cost of one class, with the time that the class's target allows.
type ClassCost struct {
	Within time.Duration
	Cost   float64
}

// Ahead returns the cost that goes before a request whose target allows within.
func (c *Candidate) Ahead(within time.Duration) float64 {
	sum := c.Running/2 + max(c.Unreported, 0)
	for _, q := range c.Queued {
		if q.Within <= within {
			sum += q.Cost
		}
	}
	return max(sum, 0)
}

// Wait predicts how long a request whose target allows within would wait there.
func (c *Candidate) Wait(within time.Duration) time.Duration {
	if c.Drain <= 0 {
		return 0
	}
	return time.Duration(c.Ahead(within) / c.Drain * float64(time.Second))
}
