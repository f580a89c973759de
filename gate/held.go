package gate

import (
	"time"

	"geraniumpass/core"
	"geraniumpass/quota"
	"geraniumpass/view"
)

// Reasons for rejecting a request because all instances are blocked.
const (
	reasonLimited  = "limited"
	reasonCold     = "cold"
	reasonCooldown = "resting"
	reasonClosed   = "group_closed"
)

// isBlocked reports whether an instance must get no request from this entry now because it is
// leaving, in a cooldown, at its limit, or cold and at its allowance. That holds even if it is the
// only instance.
func (g *Gate) isBlocked(start core.Start, fleet quota.Fleet, now time.Time) bool {
	return g.leavingInstances.IsLeaving(start) || g.cooldowns.remaining(start, now) > 0 ||
		g.quotas.Wait(start, fleet) > 0 || g.cold.quotas.Wait(start, fleet) > 0
}

// availableIn returns how long an instance stays blocked by a cooldown, its limit or its allowance
// while it is cold, and which of them it is. It returns zero for an instance that is not blocked.
func (g *Gate) availableIn(start core.Start, fleet quota.Fleet, now time.Time) (time.Duration, string) {
	longest, reason := g.quotas.RetryAfter(start, fleet), reasonLimited
	if cold := g.cold.quotas.RetryAfter(start, fleet); cold > longest {
		longest, reason = cold, reasonCold
	}
	if cooldownLeft := g.cooldowns.remaining(start, now); cooldownLeft > longest {
		longest, reason = cooldownLeft, reasonCooldown
	}
	return longest, reason
}

// nextAvailable returns how long it takes until the first instance of the service is available, and
// why none is now. It returns zero if one is available now.
func (r *request) nextAvailable() (first time.Duration, reason string) {
	snap, now := r.g.view.Now(), r.g.clock.Now()
	fleet := fleetOf(snap)
	for _, in := range snap.Usable(r.service.Name) {
		if r.g.leavingInstances.IsLeaving(in.Start()) {
			continue
		}
		wait, why := r.g.availableIn(in.Start(), fleet, now)
		if wait == 0 {
			return 0, ""
		}
		if first == 0 || wait < first {
			first, reason = wait, why
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
