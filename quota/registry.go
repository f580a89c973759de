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
	// confirmEvery is how often other entries are told that a limit still holds.
	confirmEvery = 2 * time.Second
	// raiseSlack is by how much a higher limit has to be newer than a lower one that is known, and raiseSettles how long the lower one still
	// holds: an entry that stood still tells of old things as of new ones, and those that know better are heard within that time.
	raiseSlack   = 500 * time.Millisecond
	raiseSettles = time.Second
	// kept is how long the end of a limit is told, and how long a limit is remembered whose instance is not listed any more: its entry may come
	// back.
	kept = time.Minute
)

var counts = expvar.NewMap("instance_limits")

// Registry is what an entry knows of instances' limits and its parts of them; it is safe for use by several goroutines.
type Registry struct {
	name  string
	clock clockwork.Clock
	log   hclog.Logger
	// holders says how many entries share a limit, and draw returns a number from zero to one.
	holders func(rate float64, entries int) int
	draw    func() float64

	mu  sync.Mutex
	by  map[core.Start]*record
	seq int64
	// changed is closed at the next change.
	changed chan struct{}
}

// New returns the registry of an entry that knows of no limit.
func New(name string, clock clockwork.Clock, log hclog.Logger) *Registry {
	return &Registry{
		name:    name,
		clock:   clock,
		log:     log,
		holders: fewHolders,
		draw:    rand.Float64,
		by:      make(map[core.Start]*record),
		changed: make(chan struct{}),
	}
}

// Note takes what an answer to a request sent at a time states. Answers overtake each other: the statement of the later request holds.
func (g *Registry) Note(start core.Start, limit Limit, sent time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.by[start]
	if r == nil {
		if !limit.Stated {
			return
		}
		r = g.add(start)
	}
	if sent.Before(r.at) {
		return
	}
	g.set(start, r, limit, sent, "instance")
}

// Merge takes what another entry knows.
func (g *Registry) Merge(notices []Notice) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	for _, n := range notices {
		if !n.isValid() {
			g.log.Warn("notice of a limit can't be used", "instance", n.Instance, "rate", n.Rate, "age", n.Age)
			continue
		}
		g.learn(n.start(), n.limit(), now.Add(-n.Age), now)
	}
}

// learn takes a statement from another entry. A lower limit holds at once, a higher one after a while.
func (g *Registry) learn(start core.Start, limit Limit, at, now time.Time) {
	r := g.by[start]
	if r == nil {
		if !limit.Stated {
			return
		}
		r = g.add(start)
	}
	g.settle(start, r, now)
	switch {
	case limit == r.limit:
		if at.Sub(r.at) > confirmEvery {
			g.set(start, r, limit, at, "entry")
		}
	case limit.isBelow(r.limit):
		if at.After(r.at) {
			g.set(start, r, limit, at, "entry")
		}
	case at.Sub(r.at) > raiseSlack && r.raised == nil:
		r.raised = &raise{
			limit: limit,
			at:    at,
			holds: now.Add(raiseSettles),
		}
	}
}

// isBelow returns true when a limit allows less than another one.
func (l Limit) isBelow(other Limit) bool {
	return l.Stated && (!other.Stated || l.Rate < other.Rate)
}

// settle lets a higher limit hold whose time has come, unless the lower one was confirmed since.
func (g *Registry) settle(start core.Start, r *record, now time.Time) {
	if r.raised == nil || now.Before(r.raised.holds) {
		return
	}
	up := *r.raised
	r.raised = nil
	if up.at.After(r.at) {
		g.set(start, r, up.limit, up.at, "entry")
	}
}

// Wait returns how long it takes until this entry may send a request to an instance, zero when it may now.
func (g *Registry) Wait(start core.Start, fleet Fleet) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	r := g.limited(start, fleet, now)
	if r == nil {
		return 0
	}
	return r.wait(g.draw, now)
}

// Room returns how long it takes until a caller that can't be served by an instance now may find room there at some entry: an entry without a
// part of the limit names the time in which the instance takes one request.
func (g *Registry) Room(start core.Start, fleet Fleet) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	r := g.limited(start, fleet, now)
	switch {
	case r == nil:
		return 0
	case r.bucket == nil:
		return seconds(1 / usable(r.limit.Rate))
	}
	return r.wait(g.draw, now)
}

// Acquire takes one request of what this entry may send to an instance; ok is false when it may send none now.
func (g *Registry) Acquire(start core.Start, fleet Fleet) (p Permit, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	r := g.limited(start, fleet, now)
	switch {
	case r == nil:
		return Permit{}, true
	case r.wait(g.draw, now) > 0:
		return Permit{}, false
	case r.bucket == nil:
		counts.Add("asked", 1)
		r.ask = time.Time{}
		return Permit{}, true
	}
	counts.Add("sent", 1)
	return Permit{taken: r.bucket.ReserveN(now, 1)}, true
}

// limited returns the record of an instance that states a limit, divided among the present entries, and nil for any other.
func (g *Registry) limited(start core.Start, fleet Fleet, now time.Time) *record {
	r := g.by[start]
	if r == nil {
		return nil
	}
	g.settle(start, r, now)
	if !r.limit.Stated {
		return nil
	}
	r.divide(g.name, start, fleet, g.holders, g.draw, now)
	return r
}

// Since returns what was learned after a number that an earlier call returned, zero for everything, and the number to go on from.
func (g *Registry) Since(after int64) ([]Notice, int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	var out []Notice
	for start, r := range g.by {
		if r.seq <= after {
			continue
		}
		out = append(out, Notice{
			Instance: start.ID,
			Born:     start.StartedAt,
			Rate:     r.limit.Rate,
			Ended:    !r.limit.Stated,
			Age:      max(0, now.Sub(r.at)),
		})
	}
	return out, g.seq
}

// Changed returns a channel that is closed when something is learned.
func (g *Registry) Changed() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.changed
}

// Sweep forgets limits that ended some time ago, or whose starts are not listed any more.
func (g *Registry) Sweep(isListed func(start core.Start) bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	for start, r := range g.by {
		g.settle(start, r, now)
		if (!isListed(start) || !r.limit.Stated) && now.Sub(r.at) > kept {
			delete(g.by, start)
		}
	}
}

func (g *Registry) add(start core.Start) *record {
	r := &record{}
	g.by[start] = r
	return r
}

// set takes a statement and gives it its place among the news when it is one; from says who told it.
func (g *Registry) set(start core.Start, r *record, limit Limit, at time.Time, from string) {
	now := g.clock.Now()
	before := r.limit
	r.set(limit, at)
	if limit == before && (!limit.Stated || now.Sub(r.told) < confirmEvery) {
		return
	}
	if limit != before {
		g.log.Info("limit of an instance", "instance", start.ID, "born", start.StartedAt, "limited", limit.Stated, "rate", limit.Rate, "before", before.Rate,
			"from", from)
	}
	g.seq++
	r.seq, r.told = g.seq, now
	close(g.changed)
	g.changed = make(chan struct{})
}
