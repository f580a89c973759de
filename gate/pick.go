package gate

import (
	"time"

	"github.com/samber/lo"

	"geraniumpass/core"
	"geraniumpass/route"
	"geraniumpass/view"
)

// pick returns the instance for the next attempt and counts the request as in flight there, so that
// concurrent requests don't all pick the same one. ok is false if no untried instance is available.
func (r *request) pick() (in core.Instance, ok bool) {
	snap := r.g.view.Now()
	now := r.g.clock.Now()
	r.updateCold(snap, now)
	r.g.pickMu.Lock()
	defer r.g.pickMu.Unlock()
	list := r.candidates(snap, now)
	starts := startsOf(list)
	conditions := r.g.conditions(starts, r.route, now)
	if areAllClosed(conditions) {
		// Those that are blocked for a moment may belong to open groups, and are no absent ranks.
		r.closed = areAllClosed(r.g.conditions(startsOf(snap.Usable(r.service.Name)), r.route, now))
		if r.closed || lo.EveryBy(conditions, func(c condition) bool { return c.known }) {
			r.reason = reasonClosed
			return core.Instance{}, false
		}
	}
	i := r.choose(r.instanceViews(snap, list, conditions, now), anyUsable(conditions))
	if i < 0 {
		return core.Instance{}, false
	}
	if r.permit, ok = r.g.acquire(list[i].Start(), fleetOf(snap), now); !ok {
		return core.Instance{}, false
	}
	r.g.loads.begin(list[i].Start())
	r.g.loads.recordBegin(list[i].Start(), now)
	return list[i], true
}

// instanceViews returns the load and condition of each instance. The load that agents reported replaces
// this entry's own estimate while it is recent.
func (r *request) instanceViews(snap *view.Snapshot, list []core.Instance, conditions []condition, now time.Time) []route.InstanceView {
	preferred := r.g.preferredInstances(snap, r.service.Name)
	answering := r.g.health.isAnswering(r.service.Name, now)
	avoidUnusable := anyUsable(conditions)
	isProbe := r.g.pickRandom.Float64() < probeShare
	starts := startsOf(list)
	views := make([]route.InstanceView, len(list))
	for i, e := range r.g.loads.estimates(starts, now) {
		in := list[i]
		c := &conditions[i]
		if c.hasLoad {
			e.load = c.load + float64(r.g.loads.begunSince(in.Start(), c.loadAt))
		}
		isSilent := answering && r.g.loads.silentFor(in.Start(), now) > maxSilence
		isAvoided := avoidUnusable && c.isAvoided(isProbe) || r.hasLeft(in.Start())
		views[i] = route.InstanceView{
			Domain:      in.Domain,
			Load:        e.load,
			Slots:       in.Slots,
			Preferred:   preferred[in.ID],
			Pace:        max(snap.Pace(in), c.pace),
			Penalty:     e.failures * failurePenalty,
			HasIdleConn: r.g.pool.IdleCount(targetOf(in)) > 0,
			LastResort:  e.isBarred() || isSilent || isAvoided || r.g.isReplaced(snap, in),
		}
	}
	return views
}

// choose returns the index of the instance to send to, negative if there is none. sharedLoads is set if
// the loads come from agents, so that other entries pick by the same ones.
func (r *request) choose(views []route.InstanceView, sharedLoads bool) int {
	if sharedLoads {
		return route.LeastLoadedOf(views, groupChoices, r.g.opts.Domain, r.g.pickRandom)
	}
	return route.LeastLoaded(views, r.g.opts.Domain, r.g.pickRandom)
}

// candidates returns the instances that were not tried yet and are not blocked.
func (r *request) candidates(snap *view.Snapshot, now time.Time) []core.Instance {
	fleet := fleetOf(snap)
	return lo.Filter(snap.Usable(r.service.Name), func(in core.Instance, _ int) bool {
		return !r.tried[in.Start()] && !r.g.isBlocked(in.Start(), fleet, now)
	})
}
