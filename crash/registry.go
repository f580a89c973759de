package crash

import (
	"cmp"
	"expvar"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"geraniumpass/core"
)

const (
	// Retention is how long a termination counts after it was last confirmed. Repeated requests
	// renew it, so they stay refused.
	Retention = 10 * time.Minute
	// renewAfter is the age from which a refusal confirms the terminations it is based on.
	renewAfter = Retention / 2
	// confirmationSlack is how much later another process must have confirmed a termination for the
	// record to be updated.
	confirmationSlack = time.Minute
)

var counts = expvar.NewMap("requests_that_end_instances")

// Registry holds the requests that coincided with instance terminations, as recorded here or received
// from other processes; it is safe for concurrent use.
type Registry struct {
	clock clockwork.Clock
	log   hclog.Logger

	mu       sync.Mutex
	suspects map[Digest]*suspect
	// uncleared is the number of uncleared terminations per incarnation.
	uncleared  map[core.Start]int
	completed  *completions
	unanswered map[TerminationKey]*unanswered
	// popularity counts the requests of this entry by segment.
	popularity popularity
	outcomes   outcomes
	// observed are requests of all entries.
	observed *observations
	// uncounted are runs to record once enough requests are known, the latest one last.
	uncounted []uncountedRun
	// evaluatedSeq and evaluatedAt are the sequence number and the time at which segments were last evaluated.
	evaluatedSeq int64
	evaluatedAt  time.Time
	// suspected is whether a segment was suspected at sequence number suspectedSeq.
	suspected    bool
	suspectedSeq int64
	seq          int64
	// changed is closed on the next change, localChanged on the next change of a local record.
	changed      chan struct{}
	localChanged chan struct{}
}

// New returns an empty registry.
func New(clock clockwork.Clock, log hclog.Logger) *Registry {
	return &Registry{
		clock:        clock,
		log:          log,
		suspects:     make(map[Digest]*suspect),
		uncleared:    make(map[core.Start]int),
		completed:    newCompletions(),
		unanswered:   make(map[TerminationKey]*unanswered),
		changed:      make(chan struct{}),
		observed:     newObservations(),
		localChanged: make(chan struct{}),
	}
}

// RecordTermination records that an incarnation terminated while it was running a request of an
// account; certain is false if the instance may only have been unreachable.
func (g *Registry) RecordTermination(d Digest, account string, start core.Start, certain bool) {
	g.RecordRun(Run{
		Digest:  d,
		Account: account,
		Start:   start,
		Certain: certain,
	})
}

// RecordRun records that an incarnation terminated during a run, against the request and against its
// segments.
func (g *Registry) RecordRun(run Run) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	e := Termination{
		Digest:     run.Digest,
		Account:    run.Account,
		Instance:   run.Start.ID,
		StartedAt:  run.Start.StartedAt,
		Recurrence: g.recurrence(run.Start, run.SentAt, now),
		Time:       now.UnixMilli(),
		Uncertain:  !run.Certain,
		Unanswered: len(run.Segments) > 0,
	}
	counts.Add("ends_seen", 1)
	if r := g.apply(e, now, true); r != nil {
		g.log.Warn("instance terminated while running a request", "digest", e.Digest.String(), "account", e.Account, "instance", e.Instance, "born", e.StartedAt,
			"sure", run.Certain, "cleared", r.Cleared, "refused", g.refused(g.suspects[e.Digest]))
	}
	g.recordSegments(run.Segments, e, now)
	g.keepUncounted(run.Segments, e, now)
	if len(run.Segments) > 0 && !run.Begun {
		sent := cmp.Or(run.SentAt, now)
		g.outcomes.add(outcome{
			sent:     sent,
			segments: run.Segments,
		})
		g.observed.outcomes.observe(run.Segments, OutcomeEnded, sent, now)
	}
}

// Refuses reports whether a request must not be sent to any instance.
func (g *Registry) Refuses(d Digest) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.suspects[d]
	if s == nil || s.segment || !g.refused(s) {
		return false
	}
	counts.Add("refused", 1)
	now := g.clock.Now()
	for _, r := range s.uncleared() {
		if now.Sub(r.confirmed) > renewAfter {
			g.touch(r, now, true)
		}
	}
	return true
}

// Merge applies records received from another process.
func (g *Registry) Merge(terminations []Termination) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	for _, e := range terminations {
		g.apply(e, now, false)
	}
}

// Restore applies records published by a previous run of this process and marks them as local
// again.
func (g *Registry) Restore(terminations []Termination) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	for _, e := range terminations {
		g.apply(e, now, true)
	}
}

// Sweep evicts terminations that haven't been confirmed for Retention.
func (g *Registry) Sweep() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	g.suspectedSeq = -1
	g.sweepUnanswered(now)
	for d, s := range g.suspects {
		for key, r := range s.terminations {
			if now.Sub(r.confirmed) >= Retention {
				g.uncountTermination(r)
				delete(s.terminations, key)
			}
		}
		if len(s.terminations) == 0 {
			delete(g.suspects, d)
		}
	}
}

// apply merges a termination into the registry and returns its record if anything changed.
func (g *Registry) apply(e Termination, now time.Time, local bool) *record {
	confirmed := now.Add(-e.Age)
	if e.Age < 0 || e.Age >= Retention {
		return nil
	}
	if e.Unanswered {
		g.countUnanswered(e, confirmed)
	}
	s := g.suspects[e.Digest]
	if s == nil {
		s = g.addSuspect(e)
	}
	r := s.terminations[e.Key()]
	switch {
	case r == nil && !g.makeRoom(s):
		return nil
	case r == nil:
		if s.segment && !e.Cleared {
			s.extendSeries(confirmed)
			e.Blocked = e.Blocked || s.blocked
		}
		r = &record{
			Termination: e,
			observed:    confirmed,
		}
		s.terminations[e.Key()] = r
		if !e.Cleared {
			g.uncleared[e.Key().Start]++
		}
		g.touch(r, confirmed, local)
		if !e.Cleared && g.completed.has(e.Digest, now) {
			g.clearAll(s, now)
		}
		if !s.segment && g.refused(s) {
			g.log.Warn("refusing request that coincided with instance terminations", "digest", e.Digest.String(), "account", e.Account, "ends", len(s.uncleared()))
		}
		return r
	case e.Cleared && !r.Cleared:
		g.uncountTermination(r)
		r.Cleared = true
		g.log.Info("request cleared of an instance termination by another process", "digest", e.Digest.String(), "instance", e.Instance, "born", e.StartedAt)
	case e.Blocked && !r.Blocked:
		r.Blocked = true
	case local && !r.local, confirmed.Sub(r.confirmed) > confirmationSlack:
	default:
		return nil
	}
	g.touch(r, later(confirmed, r.confirmed), local)
	return r
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
