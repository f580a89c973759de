package gate

import (
	"expvar"
	"time"

	"github.com/samber/lo"

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
	// downAfter is the time without a step from which a group counts as down. Slow ranks and the long
	// steps of a full group end before.
	downAfter = time.Second
)

// noSize is the size of the smallest group while no group is known.
const noSize = -1

// groupPicks counts the picks among instances whose groups have a recent status and among others.
var groupPicks = expvar.NewMap("group_picks")

// condition is what the status of a group says about one of its instances. The zero value means that
// nothing recent is known.
type condition struct {
	known  bool
	open   bool
	usable bool
	// group is the name of the group, and size the number of its ranks, zero while unknown.
	group string
	size  int
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
	known := g.groups.Membership(starts)
	if len(known.Groups) == 0 {
		groupPicks.Add("unknown", 1)
		return out
	}
	groupPicks.Add("known", 1)
	ofGroups := lo.Map(known.Groups, func(s loads.Status, _ int) condition { return groupCondition(&s, route.Gap) })
	for i, m := range known.Members {
		if m.Group < 0 {
			continue
		}
		out[i] = ofGroups[m.Group]
		if m.Rank >= 0 {
			out[i].setLoad(&known.Groups[m.Group], m.Rank, now)
		}
	}
	return out
}

// groupCondition returns the condition that all instances of a group have in common.
func groupCondition(s *loads.Status, gap time.Duration) condition {
	return condition{
		known:  true,
		open:   s.Open,
		usable: s.IsUsable(gap),
		group:  s.Name,
		size:   len(s.Ranks),
		idle:   s.Running()+s.Waiting() == 0,
	}
}

// setLoad sets the load of a rank if it is recent.
func (c *condition) setLoad(s *loads.Status, rank int, now time.Time) {
	age := s.Age + s.RanksAge
	if age >= maxLoadAge {
		return
	}
	r := &s.Ranks[rank]
	c.hasLoad = true
	c.load = float64(r.Running + r.Waiting)
	c.loadAt = now.Add(-age)
	c.pace = r.Pace
}

// areAllClosed reports whether every instance belongs to a closed group. Instances whose group is not known
// count as ranks that are about to be back if they are too few for a group of their own, and the closed groups
// lack as many.
func areAllClosed(conditions []condition) bool {
	unknown, size := 0, noSize
	for i := range conditions {
		c := &conditions[i]
		switch {
		case !c.known:
			unknown++
		case c.open:
			return false
		case size == noSize || c.size < size:
			size = c.size
		}
	}
	if unknown == 0 {
		return size != noSize
	}
	return unknown < size && unknown <= absentRanks(conditions)
}

// absentRanks returns the number of ranks of all known groups that are none of the instances.
func absentRanks(conditions []condition) int {
	absent := make(map[string]int)
	for i := range conditions {
		c := &conditions[i]
		if !c.known {
			continue
		}
		if _, ok := absent[c.group]; !ok {
			absent[c.group] = c.size
		}
		absent[c.group]--
	}
	sum := 0
	for _, n := range absent {
		sum += max(n, 0)
	}
	return sum
}

// areGroupsDown reports whether all groups of the service are known to be closed, or to be about to close:
// engines refuse requests before agents see that the group is closed.
func (r *request) areGroupsDown() bool {
	known := r.g.groups.Membership(startsOf(r.g.view.Now().Usable(r.service.Name)))
	if lo.SomeBy(known.Groups, func(s loads.Status) bool { return s.Open && s.StalledFor < downAfter }) {
		return false
	}
	if lo.EveryBy(known.Members, func(m loads.Member) bool { return m.Group >= 0 }) {
		return len(known.Groups) > 0
	}
	return r.isRefusedWithoutAnswers()
}

// isRefusedWithoutAnswers reports whether an instance with a group refused the request and no other answers.
// An entry that has just started doesn't know the groups of instances, and groups without a leader are known
// by their conditions alone.
func (r *request) isRefusedWithoutAnswers() bool {
	e := r.service.Engine
	since := r.g.clock.Now().Add(-downAfter)
	return r.sends > 0 && e != nil && e.Sets > 0 && r.g.health.answeredAfter(r.service.Name, since) < 0
}

// isAvoided reports whether an instance gets requests only if there is none in a usable group.
func (c *condition) isAvoided(isProbe bool) bool {
	mayProbe := isProbe && c.open && c.idle
	return c.known && !c.usable && !mayProbe
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
