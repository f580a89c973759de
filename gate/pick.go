package gate

import (
	"time"

	"github.com/samber/lo"

	"geraniumpass/core"
	"geraniumpass/quota"
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
	r.delayed = r.delayedGroups()
	if in, ok = r.sample(snap, now); ok {
		return r.take(in, snap, now)
	}
	list := r.candidates(snap, now)
	starts := startsOf(list)
	conditions := r.g.conditions(starts, r.route, now)
	if areAllClosed(conditions) {
		r.reason = reasonClosed
		// Those that are blocked for a moment may belong to open groups.
		r.closed = areAllClosed(r.g.conditions(startsOf(snap.Usable(r.service.Name)), r.route, now))
		return core.Instance{}, false
	}
	i := r.choose(r.instanceViews(snap, list, conditions, now), anyUsable(conditions))
	if i < 0 {
		return core.Instance{}, false
	}
	return r.take(list[i], snap, now)
}

// take counts the request as in flight at an instance. ok is false if its limit doesn't allow that.
func (r *request) take(in core.Instance, snap *view.Snapshot, now time.Time) (_ core.Instance, ok bool) {
	if r.permit, ok = r.g.acquire(in.Start(), fleetOf(snap), now); !ok {
		return core.Instance{}, false
	}
	r.g.loads.begin(in.Start())
	r.g.loads.recordBegin(in.Start(), now)
	return in, true
}

// instanceViews returns the load and condition of each instance. The load that agents reported replaces
// this entry's own estimate while it is recent.
func (r *request) instanceViews(snap *view.Snapshot, list []core.Instance, conditions []condition, now time.Time) []route.InstanceView {
	o := r.newOutlook(snap, now, anyUsable(conditions))
	views := r.viewsUnder(&o, list, conditions)
	if len(o.delayed) > 0 && areAllLastResort(views) {
		// Those that would relieve the delayed groups take nothing from this entry. Late streams are
		// better than those of unusable groups.
		o.delayed = nil
		views = r.viewsUnder(&o, list, conditions)
	}
	return views
}

func (r *request) viewsUnder(o *outlook, list []core.Instance, conditions []condition) []route.InstanceView {
	views := make([]route.InstanceView, len(list))
	for i, e := range r.g.loads.estimates(startsOf(list), o.now) {
		views[i] = r.instanceView(o, list[i], &conditions[i], e)
	}
	return views
}

func areAllLastResort(views []route.InstanceView) bool {
	return lo.EveryBy(views, func(v route.InstanceView) bool { return v.LastResort })
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
		return r.isCandidate(in.Start(), fleet, now)
	})
}

func (r *request) isCandidate(start core.Start, fleet quota.Fleet, now time.Time) bool {
	return !r.tried[start] && !r.g.isBlocked(start, fleet, now)
}
