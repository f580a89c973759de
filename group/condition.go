package group

import (
	"slices"
	"time"

	"geraniumpass/loads"
	"geraniumpass/outage"
)

// stalledAfter is the time without a step from which a group counts as stalled: above the hold of a map
// switch together with the steps of a full group.
const stalledAfter = 250 * time.Millisecond

// condition is the part of a group's load whose changes are sent at once.
type condition struct {
	group   string
	epoch   int64
	open    bool
	stalled bool
	// basis is what the expected opening is based on.
	basis outage.Basis
	// slow lists the slow ranks in ascending order.
	slow []int
}

func conditionOf(g *loads.Group) condition {
	c := condition{
		group:   g.Name,
		epoch:   g.Epoch,
		open:    g.Open,
		stalled: g.StalledFor >= stalledAfter,
		basis:   g.Opening.Basis,
	}
	for r := range g.Ranks {
		if g.Ranks[r].Pace > normalPace {
			c.slow = append(c.slow, r)
		}
	}
	return c
}

func (c condition) equals(other condition) bool {
	return c.group == other.group && c.epoch == other.epoch && c.open == other.open &&
		c.stalled == other.stalled && c.basis == other.basis && slices.Equal(c.slow, other.slow)
}

// isBusy reports whether a group has requests or has made steps lately.
func isBusy(g *loads.Group) bool {
	return g.StepTime > 0 || g.StalledFor > 0 || g.Running() > 0 || g.Waiting() > 0
}
