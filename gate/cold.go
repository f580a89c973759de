package gate

import (
	"time"

	"geraniumpass/core"
	"geraniumpass/quota"
	"geraniumpass/view"
)

// coldWindow is the time over which the requests to a cold instance are counted.
const coldWindow = time.Second

// ColdAllowance is what all entries together may send to a cold instance: within any second,
// Overage times the rate that it tolerates plus Slack requests.
type ColdAllowance struct {
	Overage float64
	Slack   float64
}

// coldLimits keeps the requests of all entries to cold instances within their allowance. Each entry
// derives the limits from the instance list, so they aren't exchanged.
type coldLimits struct {
	allowance ColdAllowance
	quotas    *quota.Registry
}

// limit returns the limit of a cold instance of a service. ok is false if it has none.
func (c *coldLimits) limit(cold core.Cold) (l quota.Limit, ok bool) {
	if cold.Duration <= 0 || cold.Rate <= 0 {
		return quota.Limit{}, false
	}
	return quota.Limit{
		Advertised: true,
		Rate:       quota.RateWithin(cold.Rate*c.allowance.Overage+c.allowance.Slack, coldWindow),
	}, true
}

// update applies or ends the limit of an instance at now.
func (c *coldLimits) update(snap *view.Snapshot, in core.Instance, cold core.Cold, now time.Time) {
	l, ok := c.limit(cold)
	if !ok {
		return
	}
	if !now.Before(snap.ColdUntil(in)) {
		l = quota.Limit{}
	}
	c.quotas.Observe(in.Start(), l, now)
}

// updateCold applies the limits of the cold instances of the request's service.
func (r *request) updateCold(snap *view.Snapshot, now time.Time) {
	if !snap.HasCold() && !r.g.cold.quotas.HasLimits() {
		return
	}
	for _, in := range snap.Usable(r.service.Name) {
		r.g.cold.update(snap, in, r.service.Cold, now)
	}
}
