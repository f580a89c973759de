package quota

import (
	"expvar"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"geraniumpass/core"
)

const (
	// refreshInterval is how often an unchanged limit is reported to other entries again.
	refreshInterval = 2 * time.Second
	// raiseMargin is by how much a higher limit must be newer than a known lower one to replace it,
	// and raiseDelay is how long the lower limit still applies. An entry that was paused reports
	// old limits as new ones; notices from entries with newer limits arrive within that delay.
	raiseMargin = 500 * time.Millisecond
	raiseDelay  = time.Second
	// retention is how long the end of a limit is reported, and how long the limit of an unlisted
	// instance is remembered, because it may be listed again.
	retention = time.Minute
)

var metrics = expvar.NewMap("instance_limits")

// Registry holds the limits of instances and an entry's shares of them; it is safe for concurrent
// use.
type Registry struct {
	name  string
	clock clockwork.Clock
	log   hclog.Logger
	// holders returns how many entries share a limit; random returns a number in [0, 1).
	holders func(rate float64, entries int) int
	random  func() float64

	mu      sync.Mutex
	records map[core.Start]*record
	seq     int64
	// changed is closed at the next change.
	changed chan struct{}
}

// New returns an empty registry for the named entry.
func New(name string, clock clockwork.Clock, log hclog.Logger) *Registry {
	return &Registry{
		name:    name,
		clock:   clock,
		log:     log,
		holders: holderCount,
		random:  rand.Float64,
		records: make(map[core.Start]*record),
		changed: make(chan struct{}),
	}
}

// Observe records the limit in the answer to a request sent at the given time. Answers may arrive out
// of order: the limit from the most recently sent request applies.
func (g *Registry) Observe(start core.Start, limit Limit, sent time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.records[start]
	if r == nil {
		if !limit.Advertised {
			return
		}
		r = g.add(start)
	}
	if sent.Before(r.sentAt) {
		return
	}
	g.update(start, r, limit, sent, "instance")
}

// Merge applies the limits reported by another entry.
func (g *Registry) Merge(notices []Notice) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	for _, n := range notices {
		if !n.isValid() {
			g.log.Warn("ignoring invalid limit notice", "instance", n.Instance, "rate", n.Rate, "age", n.Age)
			continue
		}
		g.mergeNotice(n.start(), n.limit(), now.Add(-n.Age), now)
	}
}

// mergeNotice applies a limit reported by another entry. A lower limit takes effect at once, a
// higher one after raiseDelay.
func (g *Registry) mergeNotice(start core.Start, limit Limit, at, now time.Time) {
	r := g.records[start]
	if r == nil {
		if !limit.Advertised {
			return
		}
		r = g.add(start)
	}
	g.applyPending(start, r, now)
	switch {
	case limit == r.limit:
		if at.Sub(r.sentAt) > refreshInterval {
			g.update(start, r, limit, at, "entry")
		}
	case limit.isBelow(r.limit):
		if at.After(r.sentAt) {
			g.update(start, r, limit, at, "entry")
		}
	case at.Sub(r.sentAt) > raiseMargin && r.pending == nil:
		r.pending = &pendingRaise{
			limit:       limit,
			sentAt:      at,
			effectiveAt: now.Add(raiseDelay),
		}
	}
}

// isBelow reports whether l allows less than other.
func (l Limit) isBelow(other Limit) bool {
	return l.Advertised && (!other.Advertised || l.Rate < other.Rate)
}

// applyPending applies a pending raise that is due, unless the lower limit was confirmed since.
func (g *Registry) applyPending(start core.Start, r *record, now time.Time) {
	if r.pending == nil || now.Before(r.pending.effectiveAt) {
		return
	}
	raise := *r.pending
	r.pending = nil
	if raise.sentAt.After(r.sentAt) {
		g.update(start, r, raise.limit, raise.sentAt, "entry")
	}
}

// Wait returns the time until this entry may send a request to the instance, or zero if it may send
// now.
func (g *Registry) Wait(start core.Start, fleet Fleet) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	r := g.limitedRecord(start, fleet, now)
	if r == nil {
		return 0
	}
	return r.wait(g.random, now)
}

// RetryAfter returns after how long a caller that the instance can't serve now may find capacity at
// some entry. For an entry without a share, that is the time in which the instance accepts one
// request.
func (g *Registry) RetryAfter(start core.Start, fleet Fleet) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	r := g.limitedRecord(start, fleet, now)
	switch {
	case r == nil:
		return 0
	case r.bucket == nil:
		return seconds(1 / effectiveRate(r.limit.Rate))
	}
	return r.wait(g.random, now)
}

// Acquire takes a token for one request to the instance; it reports false if none may be sent now.
func (g *Registry) Acquire(start core.Start, fleet Fleet) (p Permit, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	r := g.limitedRecord(start, fleet, now)
	switch {
	case r == nil:
		return Permit{}, true
	case r.wait(g.random, now) > 0:
		return Permit{}, false
	case r.bucket == nil:
		metrics.Add("asked", 1)
		r.probeAt = time.Time{}
		return Permit{}, true
	}
	metrics.Add("sent", 1)
	return Permit{reservation: r.bucket.ReserveN(now, 1)}, true
}

// limitedRecord returns the record of an instance that advertises a limit, with this entry's share
// up to date, or nil.
func (g *Registry) limitedRecord(start core.Start, fleet Fleet, now time.Time) *record {
	r := g.records[start]
	if r == nil {
		return nil
	}
	g.applyPending(start, r, now)
	if !r.limit.Advertised {
		return nil
	}
	r.assignShare(g.name, start, fleet, g.holders, g.random, now)
	return r
}

// HasLimits reports whether any instance has a limit.
func (g *Registry) HasLimits() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range g.records {
		if r.limit.Advertised {
			return true
		}
	}
	return false
}

// Since returns the notices after the given sequence number, zero for all, and the number to pass
// to the next call.
func (g *Registry) Since(after int64) ([]Notice, int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	var out []Notice
	for start, r := range g.records {
		if r.seq <= after {
			continue
		}
		out = append(out, Notice{
			Instance:  start.ID,
			StartedAt: start.StartedAt,
			Rate:      r.limit.Rate,
			Ended:     !r.limit.Advertised,
			Age:       max(0, now.Sub(r.sentAt)),
		})
	}
	return out, g.seq
}

// Changed returns a channel that is closed at the next change.
func (g *Registry) Changed() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.changed
}

// Sweep evicts limits that ended, or whose incarnations are no longer listed, once they are older
// than the retention period.
func (g *Registry) Sweep(isListed func(start core.Start) bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	for start, r := range g.records {
		g.applyPending(start, r, now)
		if (!isListed(start) || !r.limit.Advertised) && now.Sub(r.sentAt) > retention {
			delete(g.records, start)
		}
	}
}

func (g *Registry) add(start core.Start) *record {
	r := &record{}
	g.records[start] = r
	return r
}

// update stores a limit and gives the record a new sequence number if other entries must be notified;
// from names the source for the log.
func (g *Registry) update(start core.Start, r *record, limit Limit, at time.Time, from string) {
	now := g.clock.Now()
	before := r.limit
	r.update(limit, at)
	if limit == before && (!limit.Advertised || now.Sub(r.publishedAt) < refreshInterval) {
		return
	}
	if limit != before {
		g.log.Info("advertised limit of instance changed", "instance", start.ID, "born", start.StartedAt, "limited", limit.Advertised, "rate", limit.Rate, "before", before.Rate,
			"from", from)
	}
	g.seq++
	r.seq, r.publishedAt = g.seq, now
	close(g.changed)
	g.changed = make(chan struct{})
}
