package group

import (
	"geraniumpass/place"
	"geraniumpass/shift"
)

// beginSwitch starts a switch if a better map is worth its copies.
func (d *leadership) beginSwitch() {
	if !d.isSettled() || !d.ensureCurrentMap() {
		return
	}
	now := d.m.Clock.Now()
	load := d.demand.Loads(len(d.sets))
	if load == nil || d.demand.Shifting(now) || now.Sub(d.plannedAt) < planInterval {
		return
	}
	d.plannedAt = now
	budget := d.m.Budget
	if d.engine != nil {
		budget.PerSet = d.engine.Spare
		if d.engine.CopyTime > 0 {
			budget.PerRank = max(budget.PerRank, int(maxCopyTime/d.engine.CopyTime))
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
	d.m.Log.Info("starting map switch", "group", d.group, "version", version, "copies", copies, "peak", peak/mean, "to", after/mean, "ahead", ahead)
	d.nextSets, d.copies = next, copies
	d.layout = layoutOf(next)
	d.change = encodeChange(layoutOf(d.sets), d.layout)
}

// isSettled reports whether every rank is known and open, and all ranks use, or are about to use,
// the same map.
func (d *leadership) isSettled() bool {
	switched := d.inUse == d.leader.Version
	for r, s := range d.leader.Ranks {
		if !d.known[r] || !s.Open {
			return false
		}
		// After a switch by this leader the map is known, even if the ranks' last reports are
		// older.
		if !switched && (s.Armed != shift.None || s.Held != shift.None || s.Map != d.leader.Ranks[0].Map) {
			return false
		}
	}
	return true
}

// ensureCurrentMap reports whether the map in use is known, after rebuilding it from the ranks' own
// lists if necessary.
func (d *leadership) ensureCurrentMap() bool {
	version := d.leader.Ranks[0].Map
	if d.sets != nil && (d.inUse == version || d.inUse == d.leader.Version) {
		return true
	}
	if d.engine == nil {
		return false
	}
	for _, v := range d.listsVersion {
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
