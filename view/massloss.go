package view

import (
	"maps"
	"slices"
	"time"

	"github.com/samber/lo"

	"geraniumpass/core"
	"geraniumpass/fleet"
)

const (
	// massLossMin is the number of instances of a service whose entries must disappear at once
	// without notice to be treated as a possible lapse instead of departures.
	massLossMin = 3
	// massLossRatio is the minimum share of the service's instances that these must make up.
	massLossRatio = 0.25
)

// missing returns the IDs of known instances that are not in a full list.
func (v *Cache) missing(list []core.Instance) []string {
	listed := make(map[string]bool, len(list))
	for _, in := range list {
		listed[in.ID] = true
	}
	var out []string
	for _, in := range v.instances.List() {
		if !listed[in.ID] {
			out = append(out, in.ID)
		}
	}
	return out
}

// isMassLoss reports whether so many instances of one service disappeared together without notice
// that their entries may have lapsed in an outage.
func (v *Cache) isMassLoss(removed []string) bool {
	if len(removed) < massLossMin {
		return false
	}
	lost := make(map[string]int)
	all := make(map[string]int)
	removedIDs := make(map[string]bool, len(removed))
	for _, id := range removed {
		removedIDs[id] = true
	}
	for _, in := range v.instances.List() {
		all[in.Service]++
		if removedIDs[in.ID] && !in.Leaving {
			lost[in.Service]++
		}
	}
	for service, n := range lost {
		if n >= massLossMin && float64(n) >= massLossRatio*float64(all[service]) {
			return true
		}
	}
	return false
}

// unseenLoss returns the instances that are gone at a peer, if these are so many of one service that their
// entries may have lapsed before the peer read the store. Those that were leaving, or that lapsed here or
// there, are left out.
func (v *Cache) unseenLoss(gone, lapsedThere []string) []core.Instance {
	var out []core.Instance
	var ids []string
	for _, id := range gone {
		in, known := v.instances.Instance(id)
		if known && !in.Leaving && !v.instances.IsLapsed(id) && !slices.Contains(lapsedThere, id) {
			out, ids = append(out, in), append(ids, id)
		}
	}
	if !v.isMassLoss(ids) {
		return nil
	}
	v.log.Warn("a peer lacks many instances at once, keeping them for a grace period", "instances", len(ids))
	return out
}

// keptFrom returns the instances that are kept although a peer's state lacks them, and the ends of the grace
// periods of those that lapsed, where known. After a restoration of the store all are kept.
func (v *Cache) keptFrom(s *Snapshot, restored bool) ([]core.Instance, map[string]time.Time) {
	if restored {
		return v.missingAt(s.Instances), s.LapsedUntil
	}
	kept := v.unseenLoss(v.missing(s.Instances), s.Lapsed)
	return kept, keepUntil(s.LapsedUntil, kept, v.unseenLossEnd(v.clock.Now()))
}

func idsOf(list []core.Instance) []string {
	return lo.Map(list, func(in core.Instance, _ int) string { return in.ID })
}

// unseenLossEnd returns when instances that a peer lacks are dropped. They may have left right after this
// entry's state was last confirmed, unless that is so long ago that the store must have been away.
func (v *Cache) unseenLossEnd(now time.Time) time.Time {
	end, latest := now.Add(fleet.MassLossGrace), v.confirmedAt.Add(fleet.ReregisterGrace)
	if latest.After(now) && latest.Before(end) {
		return latest
	}
	return end
}

// keepUntil adds instances to the ends of grace periods that a peer told of.
func keepUntil(ends map[string]time.Time, kept []core.Instance, end time.Time) map[string]time.Time {
	out := maps.Clone(ends)
	if out == nil {
		out = make(map[string]time.Time, len(kept))
	}
	for _, in := range kept {
		out[in.ID] = end
	}
	return out
}

// missingAt returns the known instances that a peer's list lacks and that weren't leaving.
func (v *Cache) missingAt(list []core.Instance) []core.Instance {
	listed := make(map[string]bool, len(list))
	for _, in := range list {
		listed[in.ID] = true
	}
	var out []core.Instance
	for _, in := range v.instances.List() {
		if !listed[in.ID] && !in.Leaving {
			out = append(out, in)
		}
	}
	return out
}
