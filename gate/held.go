package gate

import (
	"time"

	"geraniumpass/core"
	"geraniumpass/quota"
	"geraniumpass/view"
)

// Reasons of refusals for want of an instance that may be sent to.
const (
	reasonLimited = "limited"
	reasonResting = "resting"
)

// isHeldBack returns true for an instance that must get no request from this entry now, not even when it is the only one: it leaves, rests, or
// has no room within its limit.
func (g *Gate) isHeldBack(start core.Start, fleet quota.Fleet, now time.Time) bool {
	return g.departing.Leaves(start) || g.rests.left(start, now) > 0 || g.quotas.Wait(start, fleet) > 0
}

// roomAt returns how long it takes until a caller may find room at an instance that is held back, and why it is; zero for one that is not.
func (g *Gate) roomAt(start core.Start, fleet quota.Fleet, now time.Time) (time.Duration, string) {
	rest, limit := g.rests.left(start, now), g.quotas.RetryAfter(start, fleet)
	if rest > limit {
		return rest, reasonResting
	}
	return limit, reasonLimited
}

// firstRoom returns how long it takes until there is room at the first instance of the service, and why there is none now; zero when one of
// them is not held back.
func (r *request) firstRoom() (first time.Duration, reason string) {
	snap, now := r.g.view.Now(), r.g.clock.Now()
	fleet := fleetOf(snap)
	for _, in := range snap.Usable(r.service.Name) {
		if r.g.departing.Leaves(in.Start()) {
			continue
		}
		room, why := r.g.roomAt(in.Start(), fleet, now)
		if room == 0 {
			return 0, ""
		}
		if first == 0 || room < first {
			first, reason = room, why
		}
	}
	return first, reason
}

// fleetOf returns the entries that share the limits of instances.
func fleetOf(snap *view.Snapshot) quota.Fleet {
	return quota.Fleet{
		Rev:     snap.Rev,
		Members: snap.Members,
	}
}
