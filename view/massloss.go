package view

import "geraniumpass/core"

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
