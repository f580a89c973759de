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
	preferred := r.g.preferredInstances(snap, r.service.Name)
	answering := r.g.health.isAnswering(r.service.Name, now)
	r.g.pickMu.Lock()
	defer r.g.pickMu.Unlock()
	list := r.candidates(snap, now)
	views := make([]route.InstanceView, len(list))
	starts := lo.Map(list, func(in core.Instance, _ int) core.Start { return in.Start() })
	for i, e := range r.g.loads.estimates(starts, now) {
		in := list[i]
		views[i] = route.InstanceView{
			Domain:      in.Domain,
			Load:        e.load,
			Slots:       in.Slots,
			Preferred:   preferred[in.ID],
			Pace:        snap.Pace(in),
			Penalty:     e.failures * failurePenalty,
			HasIdleConn: r.g.pool.IdleCount(targetOf(in)) > 0,
			LastResort: e.isBarred() || answering && r.g.loads.silentFor(in.Start(), now) > maxSilence ||
				r.g.isReplaced(snap, in),
		}
	}
	i := route.LeastLoaded(views, r.g.opts.Domain, r.g.pickRandom)
	if i < 0 {
		return core.Instance{}, false
	}
	if r.permit, ok = r.g.acquire(list[i].Start(), fleetOf(snap), now); !ok {
		return core.Instance{}, false
	}
	r.g.loads.begin(list[i].Start())
	return list[i], true
}

// candidates returns the instances that were not tried yet and are not blocked.
func (r *request) candidates(snap *view.Snapshot, now time.Time) []core.Instance {
	fleet := fleetOf(snap)
	return lo.Filter(snap.Usable(r.service.Name), func(in core.Instance, _ int) bool {
		return !r.tried[in.Start()] && !r.g.isBlocked(in.Start(), fleet, now)
	})
}
