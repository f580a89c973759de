package view

import (
	"expvar"

	"geraniumpass/core"
	"geraniumpass/store"
)

// storeRestores counts how often this entry learned that the store was restored from a copy.
var storeRestores = expvar.NewInt("store_restores")

// enterEra prepares for a full state that is complete up to rev, and reports whether the store was
// restored from a copy since the last one.
func (v *Cache) enterEra(rev int64) bool {
	if v.rev == 0 || store.EraOf(rev) == store.EraOf(v.rev) {
		return false
	}
	v.instances.DeferRemovals(v.clock.Now())
	storeRestores.Add(1)
	v.log.Warn("store was restored from a copy, what was written to it since the copy is lost", "era", store.EraOf(rev), "revision", store.NumberOf(rev),
		"previous_era", store.EraOf(v.rev), "previous_revision", store.NumberOf(v.rev))
	return true
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
