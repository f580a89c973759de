package quota

import (
	"time"

	"golang.org/x/time/rate"

	"geraniumpass/core"
)

const (
	// unconfirmedAfter is how long a limit must not have been confirmed to any entry before entries
	// without a share send probes. A probe is a request sent to learn the instance's present limit.
	unconfirmedAfter = 10 * time.Second
	// probeShare is the fraction of the limit that the probes of all entries together may use.
	probeShare = 0.1
	// probeWindow is how long an entry's turn to probe lasts. Turns expire because unused ones would
	// otherwise add up to a burst.
	probeWindow = time.Second
)

// record is the latest limit of one incarnation of an instance, and this entry's share of it.
type record struct {
	limit Limit
	// sentAt is when the request was sent whose answer carried the limit.
	sentAt time.Time
	// pending is a higher limit reported by another entry that is not yet in effect, or nil.
	pending *pendingRaise
	// bucket enforces this entry's share and is nil if it holds none. current is false until the
	// share is computed for the present limit; fleetRev and fleetSize describe the fleet that it
	// was computed for.
	bucket    *rate.Limiter
	current   bool
	fleetRev  int64
	fleetSize int
	// probeAt is when this entry's turn to probe begins if the limit has not been confirmed by then,
	// zero if none is scheduled.
	probeAt time.Time
	// seq is the record's position in the sequence of changes, and publishedAt when it got that
	// position.
	seq         int64
	publishedAt time.Time
}

// pendingRaise is a higher limit, or the end of one, that another entry has reported.
type pendingRaise struct {
	limit  Limit
	sentAt time.Time
	// effectiveAt is when the raise takes effect unless the lower limit is confirmed before.
	effectiveAt time.Time
}

// update stores a newly advertised limit.
func (r *record) update(limit Limit, at time.Time) {
	r.sentAt = at
	if limit == r.limit {
		return
	}
	r.limit = limit
	r.pending = nil
	r.current = false
}

// assignShare computes this entry's share of the limit for the present fleet.
func (r *record) assignShare(self string, start core.Start, fleet Fleet, holders func(rate float64, entries int) int, random func() float64, now time.Time) {
	if r.current && r.fleetRev == fleet.Rev {
		return
	}
	r.current, r.fleetRev = true, fleet.Rev
	r.fleetSize = fleet.size(self)
	n := holders(r.limit.Rate, r.fleetSize)
	if !fleet.isHolder(self, start, n) {
		r.bucket = nil
		return
	}
	s := shareOf(r.limit.Rate, n)
	if r.bucket != nil {
		r.bucket.SetLimitAt(now, rate.Limit(s.rate))
		r.bucket.SetBurstAt(now, s.burst)
		return
	}
	r.bucket = rate.NewLimiter(rate.Limit(s.rate), s.burst)
	// Each bucket starts with a fraction of its last token, random within a part that no other holder has.
	// So the first requests of holders with a burst of one are spread out, and one of them may be sent
	// within the time in which the instance accepts one.
	fraction := (float64(fleet.rank(self, start)) + random()) / float64(n)
	r.bucket.AllowN(now.Add(-seconds(fraction/s.rate)), 1)
}

// wait returns the time until this entry may send a request, or zero if it may send now.
func (r *record) wait(random func() float64, now time.Time) time.Duration {
	if r.bucket == nil {
		return max(0, r.nextProbe(random, now).Sub(now))
	}
	missing := 1 - r.bucket.TokensAt(now)
	if missing <= 0 {
		return 0
	}
	return seconds(missing / float64(r.bucket.Limit()))
}

// nextProbe returns when this entry may probe for the instance's present limit. The time is random,
// so that all entries together probe at probeShare of the limit.
func (r *record) nextProbe(random func() float64, now time.Time) time.Time {
	first := r.sentAt.Add(unconfirmedAfter)
	if now.Before(first) {
		r.probeAt = time.Time{}
		return first
	}
	if r.probeAt.IsZero() || now.Sub(r.probeAt) > probeWindow {
		r.probeAt = now.Add(seconds(random() * float64(r.fleetSize) / (probeShare * effectiveRate(r.limit.Rate))))
	}
	return r.probeAt
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
