package view

import (
	"maps"
	"time"

	"geraniumpass/core"
	"geraniumpass/store"
)

// recordCold records until when an instance is cold, as its row says. A row that is already known
// says nothing new, because it counts from when it was written. It must be called before the row is
// stored.
func (v *Cache) recordCold(in core.Instance) {
	known, ok := v.instances.Instance(in.ID)
	if in.ColdFor > 0 && (!ok || !isSameRow(known, in)) {
		v.extendCold(in.Start(), v.clock.Now().Add(in.ColdFor))
	}
}

// isSameRow reports whether a row says of the coldness of an instance what is known already. Rows have
// other revisions after the store was restored.
func isSameRow(known, in core.Instance) bool {
	if known.Start() != in.Start() {
		return false
	}
	return known.Rev == in.Rev || store.EraOf(known.Rev) != store.EraOf(in.Rev) && known.ColdFor == in.ColdFor
}

// recordReturn records that the instances of a failure domain may be cold, because its evacuation
// has ended and they may have been restarted during it without having said so yet.
func (v *Cache) recordReturn(domain string) {
	if v.table == nil {
		return
	}
	now := v.clock.Now()
	for _, in := range v.instances.List() {
		service := v.table.Service(in.Service)
		if in.Domain == domain && service != nil && service.Cold.Duration > 0 {
			v.extendCold(in.Start(), now.Add(service.Cold.Duration))
		}
	}
}

func (v *Cache) extendCold(start core.Start, until time.Time) {
	if until.After(v.coldUntil[start]) {
		v.coldUntil[start] = until
	}
}

// publishedCold returns a copy of the times until which instances are cold, without expired ones.
func (v *Cache) publishedCold() map[core.Start]time.Time {
	now := v.clock.Now()
	maps.DeleteFunc(v.coldUntil, func(_ core.Start, until time.Time) bool { return !now.Before(until) })
	return maps.Clone(v.coldUntil)
}
