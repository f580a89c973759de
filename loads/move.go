package loads

import (
	"time"

	"geraniumpass/core"
)

const (
	// slowPace is the pace from which a rank is slow; usual steps vary by less.
	slowPace = 1.5
	// maxGapShare is the share of the route's gap that a step may take before events are late at the
	// caller; the rest is for the way.
	maxGapShare = 0.9
	// stallGaps times the route's gap is how long a group makes no step before it is stalled.
	stallGaps = 2.5
	// minStall keeps the delay of a busy machine from counting as a stall.
	minStall = 300 * time.Millisecond
	// maxSlowStep is the longest step that a slow rank explains. A group that makes no step for longer
	// is stalled, whether a rank is slow or not.
	maxSlowStep = 1500 * time.Millisecond
)

// Placement is a running request, as far as it matters for the decision whether to move it.
type Placement struct {
	// Start is the incarnation that runs the request.
	Start core.Start
	// Repeatable is false if the request may run only once; it then stays.
	Repeatable bool
	// Gap is the longest pause between two events that callers accept, zero if there is none.
	Gap time.Duration
	// Aim is the latency target; it takes the place of Gap for answers that are no streams.
	Aim time.Duration
	// Slots is the number of requests that an instance runs concurrently.
	Slots int
}

// Move is the decision on one request.
type Move struct {
	// Reason is why the request should leave, empty if it should not.
	Reason Reason
	// Leaves is false if the others have no room for this request at present.
	Leaves bool
}

// Decide decides whether a request leaves its instance. own is the group that runs it, and groups
// holds all groups that can run it, by name. All entries know the same load and decide for themselves,
// so each request leaves with the probability at which those that leave just fit into the room of the
// others; draw is a random number from 0 to below 1.
func Decide(own Status, groups map[string]Status, p Placement, draw float64) Move {
	if !p.Repeatable {
		return Move{}
	}
	reason := p.reasonToLeave(&own.Group)
	if reason == "" {
		return Move{}
	}
	room, load := 0, own.Running()+own.Waiting()
	for name := range groups {
		if g := groups[name]; name != own.Name && p.isUsable(&g.Group) {
			room += freeSlots(&g.Group, p.Slots)
		}
	}
	if reason == ReasonSlowInstance {
		// The group is usable again once its slow ranks run nothing.
		room += freeSlots(&own.Group, p.Slots)
		load = slowLoad(&own.Group)
	}
	return Move{
		Reason: reason,
		Leaves: draw*float64(max(1, load)) < float64(room),
	}
}

// reasonToLeave returns why a request should leave, empty if it should not.
func (p *Placement) reasonToLeave(own *Group) Reason {
	switch {
	case !own.Open:
		return ReasonGroupClosed
	case p.isStalled(own):
		return ReasonGroupStalled
	case p.isDelayed(own) && isSlowAt(own, p.Start):
		return ReasonSlowInstance
	}
	return ""
}

// pause returns the longest pause that callers of the request accept.
func (p *Placement) pause() time.Duration {
	if p.Gap > 0 {
		return p.Gap
	}
	return p.Aim
}

// isStalled reports whether a group makes no step for longer than a slow rank explains.
func (p *Placement) isStalled(g *Group) bool {
	if slowLoad(g) > 0 && g.StalledFor < maxSlowStep {
		return false
	}
	return g.standsFor(minStall, stallGaps, p.pause())
}

// isDelayed reports whether the steps of a group last longer than callers accept. StepTime is a mean
// and still small during the first long step.
func (p *Placement) isDelayed(g *Group) bool {
	return float64(max(g.StepTime, g.StalledFor)) > maxGapShare*float64(p.pause())
}

// isUsable reports whether a group can run the request in time.
func (p *Placement) isUsable(g *Group) bool {
	return g.Open && !p.isStalled(g) && !p.isDelayed(g)
}

// isSlowAt reports whether the given incarnation is a slow rank of the group.
func isSlowAt(g *Group, start core.Start) bool {
	for i := range g.Ranks {
		if g.Ranks[i].Start == start {
			return g.Ranks[i].isSlow()
		}
	}
	return false
}

// slowLoad returns the number of requests at the slow ranks of a group. A slow rank delays the others
// only while it runs requests.
func slowLoad(g *Group) int {
	n := 0
	for i := range g.Ranks {
		if r := &g.Ranks[i]; r.isSlow() && r.Running > 0 {
			n += r.Running + r.Waiting
		}
	}
	return n
}

// freeSlots returns the number of free slots at the ranks of a group that are not slow.
func freeSlots(g *Group, slots int) int {
	n := 0
	for i := range g.Ranks {
		if r := &g.Ranks[i]; !r.isSlow() {
			n += max(0, slots-r.Running-r.Waiting)
		}
	}
	return n
}

func (r *Rank) isSlow() bool {
	return r.Pace >= slowPace
}
