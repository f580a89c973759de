package gate

import (
	"slices"
	"time"

	"geraniumpass/core"
	"geraniumpass/route"
	"geraniumpass/view"
)

// maxDraws bounds the instances that sample looks at; with fewer instances a look at all costs as little.
// Four suitable ones are among so many draws unless most instances are blocked or in unusable groups.
const maxDraws = 8 * groupChoices

// drawn holds the suitable instances that sample has drawn.
type drawn struct {
	instances []core.Instance
	views     []route.InstanceView
	// usable is set if the group of an instance is known to make progress.
	usable bool
	// unloaded holds the indexes of the instances whose load no agent has reported lately.
	unloaded []int
}

// sample picks an instance as choose does if the loads come from agents, but looks only at random
// instances until groupChoices of them are suitable, so that its cost doesn't depend on how many there
// are. ok is false if too few were found; the caller then looks at all.
func (r *request) sample(snap *view.Snapshot, now time.Time) (in core.Instance, ok bool) {
	list := snap.Usable(r.service.Name)
	if len(list) <= maxDraws || !r.g.groups.HasUsable(r.route.Gap) {
		return core.Instance{}, false
	}
	d := r.draw(list, r.newOutlook(snap, now, true))
	if len(d.views) < groupChoices {
		return core.Instance{}, false
	}
	if d.usable {
		groupPicks.Add("known", 1)
	} else if !anyUsable(r.g.conditions(startsOf(r.candidates(snap, now)), r.route, now)) {
		return core.Instance{}, false
	}
	if len(d.unloaded) > 0 {
		r.estimateLoads(&d, snap, now)
	}
	return d.instances[r.choose(d.views, true)], true
}

// draw draws random instances, each at most once, until groupChoices of them are suitable or maxDraws are
// drawn. Instances that are picked only if there is no other are not suitable.
func (r *request) draw(list []core.Instance, o outlook) drawn {
	out := drawn{
		instances: make([]core.Instance, 0, groupChoices),
		views:     make([]route.InstanceView, 0, groupChoices),
	}
	fleet := fleetOf(o.snap)
	seen := make([]int, 0, maxDraws)
	for range maxDraws {
		i := r.g.pickRandom.IntN(len(list))
		if slices.Contains(seen, i) {
			continue
		}
		seen = append(seen, i)
		if !r.isCandidate(list[i].Start(), fleet, o.now) {
			continue
		}
		r.consider(&out, &o, list[i])
		if len(out.views) == groupChoices {
			break
		}
	}
	return out
}

// consider adds a candidate if it is suitable.
func (r *request) consider(d *drawn, o *outlook, in core.Instance) {
	c := r.g.conditionOf(in.Start(), r.route, o.now)
	d.usable = d.usable || c.usable
	v := r.instanceView(o, in, &c, r.g.loads.failuresOf(in.Start(), o.now))
	if v.LastResort {
		return
	}
	if !c.hasLoad {
		d.unloaded = append(d.unloaded, len(d.views))
	}
	d.instances = append(d.instances, in)
	d.views = append(d.views, v)
}

// estimateLoads sets the loads that no agent has reported. They are estimated from those of all
// candidates. A refusal that is received meanwhile takes an instance off these.
func (r *request) estimateLoads(d *drawn, snap *view.Snapshot, now time.Time) {
	starts := startsOf(r.candidates(snap, now))
	indexes := make([]int, len(d.unloaded))
	for i, u := range d.unloaded {
		start := d.instances[u].Start()
		indexes[i] = slices.Index(starts, start)
		if indexes[i] < 0 {
			indexes[i] = len(starts)
			starts = append(starts, start)
		}
	}
	estimates := r.g.loads.estimates(starts, now)
	for i, u := range d.unloaded {
		d.views[u].Load = estimates[indexes[i]].load
	}
}
