package loads

import (
	"time"

	"geraniumpass/core"
	"geraniumpass/outage"
)

// Rank is the load of one rank of a group as its agent last reported it to the group's leader.
type Rank struct {
	// Start is the incarnation of the rank's instance, empty while unknown.
	Start core.Start
	// Running and Waiting are the numbers of requests in the engine's batch and queue.
	Running int
	Waiting int
	// Pace is the rank's step time as a multiple of its usual step time, 1 if it is not slow.
	Pace float64
}

// Group is the load and condition of a rank group at one moment, as the agent of one of its ranks
// knows it. All ranks take every step together, so that each of them observes the step time.
type Group struct {
	Name  string
	Epoch int64
	// Open reports whether the group accepts requests. A group is closed while a rank is missing.
	Open bool
	// ClosedFor is how long the group has been closed, zero if it is open.
	ClosedFor time.Duration
	// Opening is when a closed group is expected to open.
	Opening outage.Estimate
	// StepTime is the mean duration of the last few steps, zero while unknown.
	StepTime time.Duration
	// StalledFor is the time since the last step began if requests are running, zero if none are.
	StalledFor time.Duration
	// Ranks is the load of each rank, by rank number; it is empty while the group has no leader.
	Ranks []Rank
	// RanksAge is how old Ranks is.
	RanksAge time.Duration
}

// Running returns the number of requests in the batches of all ranks.
func (g *Group) Running() int {
	n := 0
	for i := range g.Ranks {
		n += g.Ranks[i].Running
	}
	return n
}

// Waiting returns the number of requests in the queues of all ranks.
func (g *Group) Waiting() int {
	n := 0
	for i := range g.Ranks {
		n += g.Ranks[i].Waiting
	}
	return n
}
