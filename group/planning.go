package group

import (
	"geraniumpass/place"
	"geraniumpass/shift"
)

// begin starts a switch when a better map is worth its copies.
func (d *leading) begin() {
	if !d.settled() || !d.current() {
		return
	}
	now := d.m.Clock.Now()
	load := d.demand.Loads(len(d.sets))
	if load == nil || d.demand.Turning(now) || now.Sub(d.planned) < planEvery {
		return
	}
	d.planned = now
	budget := d.m.Budget
	if d.engine != nil {
		budget.PerSet = d.engine.Spare
		if d.engine.CopyTime > 0 {
			budget.PerRank = max(budget.PerRank, int(copyTime/d.engine.CopyTime))
		}
	}
	next, copies := place.ImproveSets(d.sets, load, d.paces, budget)
	peak, mean := place.Peak(d.sets, load, d.paces)
	after, _ := place.Peak(next, load, d.paces)
	if copies == 0 || peak-after < minSaving*peak {
		return
	}
	own, _ := d.m.Agent.Report()
	ahead := d.margin.Ahead(now)
	version, ok := d.leader.Begin(own.Rank, ahead)
	if !ok {
		return
	}
	d.m.Log.Info("changing the map", "group", d.group, "version", version, "copies", copies, "peak", peak/mean, "to", after/mean, "ahead", ahead)
	d.next, d.copies = next, copies
	d.layout = layoutOf(next)
	d.change = changeBetween(layoutOf(d.sets), d.layout)
}

// settled returns true when every rank is known and steps, or will step, under the same map.
func (d *leading) settled() bool {
	switched := d.inUse == d.leader.Version
	for r, s := range d.leader.Ranks {
		if !d.known[r] || !s.Open {
			return false
		}
		// After a switch of its own the leader knows the map, whatever the ranks' last words were.
		if !switched && (s.Armed != shift.None || s.Held != shift.None || s.Map != d.leader.Ranks[0].Map) {
			return false
		}
	}
	return true
}

// current makes sure that the map in use is known, from the ranks' own lists if need be.
func (d *leading) current() bool {
	version := d.leader.Ranks[0].Map
	if d.sets != nil && (d.inUse == version || d.inUse == d.leader.Version) {
		return true
	}
	if d.engine == nil {
		return false
	}
	for _, v := range d.listsMap {
		if v != version {
			d.leader.Ask()
			return false
		}
	}
	sets := placementsOf(d.lists, d.engine)
	if sets == nil {
		return false
	}
	d.sets, d.inUse = sets, version
	return true
}
