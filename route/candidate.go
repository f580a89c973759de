package route

import (
	"time"

	"geraniumpass/queue"
)

// Candidate is what an entry knows of one upstream.
type Candidate struct {
	ID     string
	Domain string
	// Queued is the reported waiting cost by class, and Running the cost in progress.
	Queued  []ClassCost
	Running float64
	// InUse attempts run of at most Limit.
	InUse int
	Limit int
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
	sum := max(c.Unreported, 0)
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
	slot := queue.Capacity{
		Running: c.InUse,
		Limit:   c.Limit,
		Cost:    c.Running,
		Drain:   c.Drain,
	}
	ahead := c.Ahead(within)
	if c.InUse < c.Limit {
		// What this entry has sent since the report fills the free slots first.
		ahead = max(0, ahead-c.free())
	}
	return slot.Slot() + time.Duration(ahead/c.Drain*float64(time.Second))
}

// free is the cost that the free slots can hold, judged by what runs in the others.
func (c *Candidate) free() float64 {
	if c.InUse == 0 {
		return float64(c.Limit)
	}
	return c.Running / float64(c.InUse) * float64(c.Limit-c.InUse)
}

// load compares candidates that nobody has to wait for.
func (c *Candidate) load(within time.Duration) float64 {
	return c.Ahead(within) + c.Running + c.Own
}
