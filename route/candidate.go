package route

import (
	"time"

	"geraniumpass/queue"
)

// Candidate is an upstream's load as one entry sees it.
type Candidate struct {
	ID     string
	Domain string
	// Queued is the reported waiting cost by class; Running is the reported cost in progress.
	Queued  []ClassCost
	Running float64
	// InUse is the number of attempts that run, of at most Limit.
	InUse int
	Limit int
	// DrainRate is the reported throughput in cost units per second, or zero while unknown.
	DrainRate float64
	// Unreported is the cost that this entry has sent since the report was made, less the cost it
	// has seen finished.
	Unreported float64
	// InFlight is the cost of this entry's own in-flight work on the upstream.
	InFlight float64
	// ReportAge is the age of the report.
	ReportAge time.Duration
}

// ClassCost is the waiting cost of one class and the class's latency target.
type ClassCost struct {
	LatencyTarget time.Duration
	Cost          float64
}

// CostAhead returns the cost that is served before a request with the given latency target.
func (c *Candidate) CostAhead(target time.Duration) float64 {
	sum := max(c.Unreported, 0)
	for _, q := range c.Queued {
		if q.LatencyTarget <= target {
			sum += q.Cost
		}
	}
	return max(sum, 0)
}

// Wait predicts the queueing time of a request with the given latency target, or zero while the
// drain rate is unknown.
func (c *Candidate) Wait(target time.Duration) time.Duration {
	if c.DrainRate <= 0 {
		return 0
	}
	slot := queue.Capacity{
		Running:   c.InUse,
		Limit:     c.Limit,
		Cost:      c.Running,
		DrainRate: c.DrainRate,
	}
	ahead := c.CostAhead(target)
	if c.InUse < c.Limit {
		// The free slots are filled first by what this entry has sent since the report.
		ahead = max(0, ahead-c.freeSlotCost())
	}
	return slot.SlotWait() + time.Duration(ahead/c.DrainRate*float64(time.Second))
}

// freeSlotCost estimates the cost that the free slots can take, from the mean cost of the running
// attempts.
func (c *Candidate) freeSlotCost() float64 {
	if c.InUse == 0 {
		return float64(c.Limit)
	}
	return c.Running / float64(c.InUse) * float64(c.Limit-c.InUse)
}

// load is the tie-breaker between candidates with the same predicted wait.
func (c *Candidate) load(target time.Duration) float64 {
	return c.CostAhead(target) + c.Running + c.InFlight
}
