package view

import (
	"context"
	"expvar"
	"maps"
	"time"

	"geraniumpass/core"
	"geraniumpass/store"
)

// carryTime is how long knowledge from before the store was restored outweighs the copy. Instances
// and operators write again what was lost within seconds, and the entries of instances that have left
// expire.
const carryTime = 10 * time.Second

// storeRestores counts how often this entry learned that the store was restored from a copy.
var storeRestores = expvar.NewInt("store_restores")

// carryover is what this entry knew when the store was restored from a copy, where the copy may
// contradict it.
type carryover struct {
	// until is when it ends, zero if there is none.
	until time.Time
	// left maps the incarnations that were leaving or gone to the revision at which the copy lists them as
	// in use, zero if it doesn't. An entry that is written again is believed.
	left map[core.Start]int64
	// evacuated are the failure domains that were being evacuated and that the copy doesn't list.
	evacuated map[string]bool
}

// enterEra prepares for a full state that is complete up to rev. If the store was restored since the
// last one, what this entry knows is carried over. It reports whether that is the case.
func (v *Cache) enterEra(rev int64) bool {
	if v.rev == 0 || store.EraOf(rev) == store.EraOf(v.rev) {
		return false
	}
	now := v.clock.Now()
	left := v.instances.Left(now)
	maps.Copy(left, v.carry.left)
	for start := range left {
		left[start] = 0
	}
	v.carry = carryover{
		until:     now.Add(carryTime),
		left:      left,
		evacuated: v.evacuatedDomains(),
	}
	v.instances.DeferRemovals(now)
	storeRestores.Add(1)
	v.log.Warn("store was restored from a copy, what was written to it since the copy is lost", "era", store.EraOf(rev), "revision", store.NumberOf(rev),
		"previous_era", store.EraOf(v.rev), "previous_revision", store.NumberOf(v.rev), "left", len(left), "evacuated", len(v.carry.evacuated))
	return true
}

// AwaitEra waits until the store's era is later than a known one and returns it. It fails with the
// error of ctx.
func (v *Cache) AwaitEra(ctx context.Context, known int64) (int64, error) {
	for {
		changed := v.Changed()
		if era := store.EraOf(v.Now().Rev); era > known {
			return era, nil
		}
		select {
		case <-ctx.Done():
			return 0, ctx.Err()
		case <-changed:
		}
	}
}

// expireCarryover ends the carryover when its time is over and reports whether it did.
func (v *Cache) expireCarryover() bool {
	if v.carry.until.IsZero() || v.clock.Now().Before(v.carry.until) {
		return false
	}
	v.log.Info("store is believed again where it contradicted earlier knowledge", "instances", len(v.carry.left), "evacuated", len(v.carry.evacuated))
	v.changeEvacuations(func() { v.carry = carryover{} })
	return true
}

// withheld returns the incarnations that get no requests although their entries say that they are
// in use, because they were leaving or gone before the store was restored.
func (v *Cache) withheld(list []core.Instance) map[core.Start]bool {
	if len(v.carry.left) == 0 {
		return nil
	}
	out := make(map[core.Start]bool)
	for _, in := range list {
		start := in.Start()
		listedAt, left := v.carry.left[start]
		switch {
		case !left || in.Leaving || store.EraOf(in.Rev) < store.EraOf(v.rev):
		case listedAt == 0 || listedAt == in.Rev:
			v.carry.left[start] = in.Rev
			out[start] = true
		default:
			delete(v.carry.left, start)
		}
	}
	return out
}
