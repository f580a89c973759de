package crash

import (
	"expvar"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"geraniumpass/core"
)

const (
	// Kept is how long an end counts after it was last confirmed; a request that keeps coming is refused for as long as it does.
	Kept = 10 * time.Minute
	// renewAfter is when a refusal confirms the ends that it rests on.
	renewAfter = Kept / 2
	// ageSlack is by how much another process must have confirmed an end later for that to be news.
	ageSlack = time.Minute
)

var counts = expvar.NewMap("requests_that_end_instances")

// Registry is what a process knows of requests under which instances ended; it is safe for use by several goroutines.
type Registry struct {
	clock clockwork.Clock
	log   hclog.Logger

	mu       sync.Mutex
	suspects map[Digest]*suspect
	// ended is how many ends of a start count against some request.
	ended  map[core.Start]int
	wholes *wholes
	seq    int64
	// changed is closed at the next change, stated at the next change of what this process states itself.
	changed chan struct{}
	stated  chan struct{}
}

// New returns a registry that knows nothing.
func New(clock clockwork.Clock, log hclog.Logger) *Registry {
	return &Registry{
		clock:    clock,
		log:      log,
		suspects: make(map[Digest]*suspect),
		ended:    make(map[core.Start]int),
		wholes:   newWholes(),
		changed:  make(chan struct{}),
		stated:   make(chan struct{}),
	}
}

// Ended notes that a start of an instance was found to have ended while it ran a request of an account; sure is false when it may only have
// been out of reach.
func (g *Registry) Ended(d Digest, account string, start core.Start, sure bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	e := End{
		Digest:   d,
		Account:  account,
		Instance: start.ID,
		Born:     start.Born,
		Time:     now.UnixMilli(),
		Unsure:   !sure,
	}
	if s := g.suspects[d]; s != nil {
		e.Again = s.next(e, now)
	}
	counts.Add("ends_seen", 1)
	if r := g.learn(e, now, true); r != nil {
		g.log.Warn("instance ended under a request", "digest", d.String(), "account", account, "instance", start.ID, "born", start.Born,
			"sure", sure, "cleared", r.Cleared, "refused", g.refused(g.suspects[d]))
	}
}

// Refuses returns true for a request that must not be sent to any instance.
func (g *Registry) Refuses(d Digest) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.suspects[d]
	if s == nil || !g.refused(s) {
		return false
	}
	counts.Add("refused", 1)
	now := g.clock.Now()
	for _, r := range s.counted() {
		if now.Sub(r.seen) > renewAfter {
			g.note(r, now, true)
		}
	}
	return true
}

// Merge takes what another process has learned.
func (g *Registry) Merge(ends []End) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	for _, e := range ends {
		g.learn(e, now, false)
	}
}

// Adopt takes what an earlier life of this process has stated, which it goes on stating.
func (g *Registry) Adopt(ends []End) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	for _, e := range ends {
		g.learn(e, now, true)
	}
}

// Since returns what was learned after a number that an earlier call returned, zero for everything, and the number to go on from.
func (g *Registry) Since(after int64) ([]End, int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.list(func(r *record) bool { return r.seq > after }), g.seq
}

// Own returns what this process states itself.
func (g *Registry) Own() []End {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.list(func(r *record) bool { return r.own })
}

// Changed returns a channel that is closed when something is learned.
func (g *Registry) Changed() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.changed
}

// Stated returns a channel that is closed when what this process states itself changes.
func (g *Registry) Stated() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.stated
}

// Sweep forgets ends that were not confirmed for Kept.
func (g *Registry) Sweep() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	for d, s := range g.suspects {
		for p, r := range s.ends {
			if now.Sub(r.seen) >= Kept {
				g.uncount(r)
				delete(s.ends, p)
			}
		}
		if len(s.ends) == 0 {
			delete(g.suspects, d)
		}
	}
}

// learn takes an end and returns its record when that was news.
func (g *Registry) learn(e End, now time.Time, own bool) *record {
	seen := now.Add(-e.Age)
	if e.Age < 0 || e.Age >= Kept {
		return nil
	}
	s := g.suspects[e.Digest]
	if s == nil {
		s = g.admit(e)
	}
	r := s.ends[e.Place()]
	switch {
	case r == nil && len(s.ends) >= endsKept && !s.dropCleared():
		return nil
	case r == nil:
		r = &record{
			End: e,
			at:  seen,
		}
		s.ends[e.Place()] = r
		if !e.Cleared {
			g.ended[e.Place().Start]++
		}
		g.note(r, seen, own)
		if !e.Cleared && g.wholes.has(e.Digest, now) {
			g.clearAll(s, now)
		}
		if g.refused(s) {
			g.log.Warn("request is refused", "digest", e.Digest.String(), "account", e.Account, "ends", len(s.counted()))
		}
		return r
	case e.Cleared && !r.Cleared:
		g.uncount(r)
		r.Cleared = true
		g.log.Info("request cleared of an end elsewhere", "digest", e.Digest.String(), "instance", e.Instance, "born", e.Born)
	case own && !r.own, seen.Sub(r.seen) > ageSlack:
	default:
		return nil
	}
	g.note(r, later(seen, r.seen), own)
	return r
}

// note gives a changed record its place among the news.
func (g *Registry) note(r *record, seen time.Time, own bool) {
	g.seq++
	r.seq = g.seq
	r.seen = seen
	close(g.changed)
	g.changed = make(chan struct{})
	if !own {
		return
	}
	r.own = true
	close(g.stated)
	g.stated = make(chan struct{})
}

// list returns the ends that pick chooses, with their ages.
func (g *Registry) list(pick func(r *record) bool) []End {
	now := g.clock.Now()
	var out []End
	for _, s := range g.suspects {
		for _, r := range s.ends {
			if pick(r) {
				e := r.End
				e.Age = max(0, now.Sub(r.seen))
				out = append(out, e)
			}
		}
	}
	return out
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
