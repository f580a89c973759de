package gate

import (
	"github.com/samber/lo"

	"geraniumpass/core"
	"geraniumpass/quota"
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
	list := r.candidates(snap)
	seen := make([]route.Seen, len(list))
	starts := lo.Map(list, func(in core.Instance, _ int) core.Start { return in.Start() })
	for i, b := range r.g.loads.beliefs(starts, now) {
		in := list[i]
		seen[i] = route.Seen{
			Domain:  in.Domain,
			Load:    b.load,
			Slots:   in.Slots,
			Near:    near[in.ID],
			Pace:    snap.Pace(in),
			Penalty: b.failures * failurePenalty,
			Open:    r.g.pool.Idle(targetOf(in)) > 0,
			Barred: b.isBarred() || alive && r.g.loads.silent(in.Start(), now) > silentAfter ||
				r.g.ended(snap, in),
		}
	}
	i := route.Least(seen, r.g.opts.Domain, r.g.picks)
	if i < 0 {
		return core.Instance{}, false
	}
	if r.permit, ok = r.g.quotas.Acquire(list[i].Start(), fleetOf(snap)); !ok {
		return core.Instance{}, false
	}
	r.g.loads.begin(list[i].Start())
	return list[i], true
}

// candidates returns the instances that have not been tried and may be sent to; those that have no room within their limits are left out, also
// when there is no other.
func (r *request) candidates(snap *view.Snapshot) []core.Instance {
	fleet := fleetOf(snap)
	r.room = 0
	var list []core.Instance
	for _, in := range snap.Usable(r.service.Name) {
		if r.tried[in.Start()] {
			continue
		}
		if r.g.quotas.Wait(in.Start(), fleet) > 0 {
			r.noteRoom(in, fleet)
			continue
		}
		list = append(list, in)
	}
	return list
}

// noteRoom keeps when the first of the instances that were passed over for their limits has room.
func (r *request) noteRoom(in core.Instance, fleet quota.Fleet) {
	room := r.g.quotas.Room(in.Start(), fleet)
	if r.room == 0 || room < r.room {
		r.room = room
	}
}

// fleetOf returns the entries that share the limits of instances.
func fleetOf(snap *view.Snapshot) quota.Fleet {
	return quota.Fleet{
		Rev:     snap.Rev,
		Members: snap.Members,
	}
}
