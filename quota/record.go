package quota

import (
	"time"

	"golang.org/x/time/rate"

	"geraniumpass/core"
)

const (
	// unconfirmedAfter is how long nobody has to have heard of a limit before an entry without a part asks what the instance states now.
	unconfirmedAfter = 10 * time.Second
	// askingPart is the part of a limit that is spent on asking so, by all entries together.
	askingPart = 0.1
	// askingTime is how long an entry's turn to ask lasts: turns that nobody has used must not add up for a crowd.
	askingTime = time.Second
)

// record is the newest statement of one start of an instance, and what this entry may send to it.
type record struct {
	limit Limit
	// at is when the request was sent whose answer carried the statement.
	at time.Time
	// raised is a higher limit that another entry has told of and that does not hold yet, nil without one.
	raised *raise
	// bucket is this entry's part, nil while it holds none; current is false until it was made for the present limit, and rev and entries are those
	// of the fleet that it was made for.
	bucket  *rate.Limiter
	current bool
	rev     int64
	entries int
	// ask is when this entry's turn to send without a part begins, if nobody has heard of the limit for long by then.
	ask time.Time
	// seq is the record's place among the news, told when it got that.
	seq  int64
	told time.Time
}

// raise is a higher limit, or the end of one, that another entry has told of.
type raise struct {
	limit Limit
	at    time.Time
	// holds is from when on it holds unless the lower limit is confirmed by then.
	holds time.Time
}

// set takes a statement.
func (r *record) set(limit Limit, at time.Time) {
	r.at = at
	if limit == r.limit {
		return
	}
	r.limit = limit
	r.raised = nil
	r.current = false
}

// divide gives this entry its part of the limit for the present fleet.
func (r *record) divide(self string, start core.Start, fleet Fleet, holders func(rate float64, entries int) int, draw func() float64, now time.Time) {
	if r.current && r.rev == fleet.Rev {
		return
	}
	r.current, r.rev = true, fleet.Rev
	r.entries = fleet.size(self)
	n := holders(r.limit.Rate, r.entries)
	if !fleet.isAmong(self, start, n) {
		r.bucket = nil
		return
	}
	p := partOf(r.limit.Rate, n)
	if r.bucket != nil {
		r.bucket.SetLimitAt(now, rate.Limit(p.rate))
		r.bucket.SetBurstAt(now, p.depth)
		return
	}
	r.bucket = rate.NewLimiter(rate.Limit(p.rate), p.depth)
	// Buckets lack a random part of one request at first, which spreads the first ones of holders that may send but one at once.
	r.bucket.AllowN(now.Add(-seconds(draw()/p.rate)), 1)
}

// wait returns how long it takes until this entry may send a request, zero when it may now.
func (r *record) wait(draw func() float64, now time.Time) time.Duration {
	if r.bucket == nil {
		return max(0, r.turn(draw, now).Sub(now))
	}
	lacks := 1 - r.bucket.TokensAt(now)
	if lacks <= 0 {
		return 0
	}
	return seconds(lacks / float64(r.bucket.Limit()))
}

// turn returns when this entry may ask what the instance states now: at a random moment, so that all entries together ask at a part of its rate.
func (r *record) turn(draw func() float64, now time.Time) time.Time {
	first := r.at.Add(unconfirmedAfter)
	if now.Before(first) {
		r.ask = time.Time{}
		return first
	}
	if r.ask.IsZero() || now.Sub(r.ask) > askingTime {
		r.ask = now.Add(seconds(draw() * float64(r.entries) / (askingPart * usable(r.limit.Rate))))
	}
	return r.ask
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
