package gate

import (
	"expvar"
	"time"

	"geraniumpass/core"
	"geraniumpass/loads"
	"geraniumpass/plan"
)

const (
	// maxLoadAge is how old the load of a rank may be to replace this entry's own estimate.
	maxLoadAge = 500 * time.Millisecond
	// groupChoices is the number of random instances of which the best is picked if their loads come
	// from agents. All entries see the same loads, so that without the random choice all of them would
	// pick the same instance until the next status.
	groupChoices = 4
	// probeShare is the share of picks that may take a stalled group without requests, which makes no
	// step that would show that it goes on again.
	probeShare = 0.03
)

// groupPicks counts the picks among instances whose groups have a recent status and among others.
var groupPicks = expvar.NewMap("group_picks")

// condition is what the status of a group says about one of its instances. The zero value means that
// nothing recent is known.
type condition struct {
	known  bool
	open   bool
	usable bool
	// idle is set if no rank of the group is known to have requests.
	idle bool
	// hasLoad is set if the rank's load is recent; load is the requests in its batch and queue as of
	// loadAt.
	hasLoad bool
	load    float64
	loadAt  time.Time
	pace    float64
}

// conditions returns the condition of each incarnation for requests of a route.
func (g *Gate) conditions(starts []core.Start, route *plan.Route, now time.Time) []condition {
	out := make([]condition, len(starts))
	groups := g.groups.Recent()
	if len(groups) == 0 {
		groupPicks.Add("unknown", 1)
		return out
	}
	groupPicks.Add("known", 1)
	ranks := make(map[core.Start]loads.Rank)
	for _, s := range groups {
		for _, r := range s.Ranks {
			ranks[r.Start] = r
		}
	}
	for i, start := range starts {
		s, ok := groups[g.groups.GroupOf(start)]
		if !ok {
			continue
		}
		c := &out[i]
		c.known, c.open, c.usable = true, s.Open, s.IsUsable(route.Gap)
		c.idle = s.Running()+s.Waiting() == 0
		r, ok := ranks[start]
		if age := s.Age + s.RanksAge; ok && age < maxLoadAge {
			c.hasLoad, c.load, c.loadAt = true, float64(r.Running+r.Waiting), now.Add(-age)
			c.pace = r.Pace
		}
	}
	return out
}

// areAllClosed reports whether every instance is known to belong to a closed group.
func areAllClosed(conditions []condition) bool {
	for i := range conditions {
		if !conditions[i].known || conditions[i].open {
			return false
		}
	}
	return len(conditions) > 0
}

// isAvoided reports whether an instance gets requests only if there is none in a usable group.
func (c *condition) isAvoided(isProbe bool) bool {
	return c.known && !c.usable && !(isProbe && c.open && c.idle)
}

// anyUsable reports whether the group of an instance is known to make progress.
func anyUsable(conditions []condition) bool {
	for i := range conditions {
		if conditions[i].usable {
			return true
		}
	}
	return false
}
