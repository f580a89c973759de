package gate

import (
	"time"

	"github.com/samber/lo"

	"geraniumpass/core"
	"geraniumpass/route"
	"geraniumpass/view"
)

// pick returns the instance for the next attempt, which counts as sent there from now on, so that requests that come together don't all
// choose the same; ok is false when there is none that has not been tried and that may be sent to.
func (r *request) pick() (in core.Instance, ok bool) {
	snap := r.g.view.Now()
	now := r.g.clock.Now()
	near := r.g.near(snap, r.service.Name)
	alive := r.g.pulse.isAnswering(r.service.Name, now)
	r.g.pickMu.Lock()
	defer r.g.pickMu.Unlock()
	list := r.candidates(snap, now)
	seen := make([]route.InstanceView, len(list))
	starts := lo.Map(list, func(in core.Instance, _ int) core.Start { return in.Start() })
	for i, b := range r.g.loads.beliefs(starts, now) {
		in := list[i]
		seen[i] = route.InstanceView{
			Domain:      in.Domain,
			Load:        b.load,
			Slots:       in.Slots,
			Preferred:   near[in.ID],
			Pace:        snap.Pace(in),
			Penalty:     b.failures * failurePenalty,
			HasIdleConn: r.g.pool.Idle(targetOf(in)) > 0,
			LastResort: b.isBarred() || alive && r.g.loads.silent(in.Start(), now) > silentAfter ||
				r.g.ended(snap, in),
		}
	}
	i := route.LeastLoaded(seen, r.g.opts.Domain, r.g.picks)
	if i < 0 {
		return core.Instance{}, false
	}
	if r.permit, ok = r.g.quotas.Acquire(list[i].Start(), fleetOf(snap)); !ok {
		return core.Instance{}, false
	}
	r.g.loads.begin(list[i].Start())
	return list[i], true
}

// candidates returns the instances that have not been tried and that are not held back, also when there is no other.
func (r *request) candidates(snap *view.Snapshot, now time.Time) []core.Instance {
	fleet := fleetOf(snap)
	return lo.Filter(snap.Usable(r.service.Name), func(in core.Instance, _ int) bool {
		return !r.tried[in.Start()] && !r.g.isHeldBack(in.Start(), fleet, now)
	})
}
