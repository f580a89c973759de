package gate

import (
	"time"

	"geraniumpass/core"
	"geraniumpass/loads"
	"geraniumpass/route"
	"geraniumpass/view"
)

// outlook is what all instances of a pick have in common.
type outlook struct {
	snap *view.Snapshot
	now  time.Time
	// preferred is the set of the IDs of the preferred instances.
	preferred map[string]bool
	// answering is set if instances of the service have answered lately.
	answering bool
	// isProbe is set for the few picks that may take a stalled group.
	isProbe bool
	// avoidUnusable is set if the group of some instance is usable.
	avoidUnusable bool
	// delayed is the set of the groups whose steps take too long while another one has room.
	delayed map[string]bool
}

func (r *request) newOutlook(snap *view.Snapshot, now time.Time, avoidUnusable bool) outlook {
	return outlook{
		snap:          snap,
		now:           now,
		preferred:     r.g.preferredInstances(snap, r.service.Name),
		answering:     r.g.health.isAnswering(r.service.Name, now),
		isProbe:       r.g.pickRandom.Float64() < probeShare,
		avoidUnusable: avoidUnusable,
		delayed:       r.delayed,
	}
}

// delayedGroups returns the groups of the service that the request avoids because of the time of their
// steps.
func (r *request) delayedGroups() map[string]bool {
	if !r.needsRoom() || !r.g.groups.HasDelayed(r.route.Gap) {
		return nil
	}
	out := loads.Delayed(r.g.groupsOf(r.service.Name), r.route.Gap, r.service.Engine.Slots, r.g.pickRandom.Float64())
	if len(out) > 0 {
		delayedPicks.Add(1)
	}
	return out
}

// instanceView returns the load and condition of an instance; e is this entry's own estimate. A request that
// has left an instance, usually with its last attempt, avoids instances of unknown condition, because only
// the room of known groups let it leave.
func (r *request) instanceView(o *outlook, in core.Instance, c *condition, e estimate) route.InstanceView {
	start := in.Start()
	if c.hasLoad {
		e.load = c.load + float64(r.g.loads.begunSince(start, c.loadAt))
	}
	isSilent := o.answering && r.g.loads.silentFor(start, o.now) > maxSilence
	isAvoided := o.avoidUnusable && (c.isAvoided(o.isProbe) || r.relocated && !c.known) || o.delayed[c.group] || r.hasLeft(start)
	return route.InstanceView{
		Domain:      in.Domain,
		Load:        e.load,
		Slots:       in.Slots,
		Preferred:   o.preferred[in.ID],
		Pace:        max(o.snap.Pace(in), c.pace),
		Penalty:     e.failures * failurePenalty,
		HasIdleConn: r.g.pool.IdleCount(targetOf(in)) > 0,
		LastResort:  e.isBarred() || isSilent || isAvoided || r.g.isReplaced(o.snap, in),
	}
}
