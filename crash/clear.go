package crash

import (
	"time"

	"geraniumpass/core"
)

// observationSlack is by how much a termination may be older than its observation here, because
// records take up to about 1 s through the store.
const observationSlack = time.Second

// RecordCompletion records that a request ran to completion without its instance terminating, and
// clears the terminations recorded against it so far.
func (g *Registry) RecordCompletion(d Digest) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	g.completed.add(d, now)
	if s := g.suspects[d]; s != nil {
		g.clearAll(s, now)
	}
}

// RecordAnswer records that an incarnation answered a request sent at time sent over a connection
// opened at time opened, and clears terminations of that incarnation observed in between: they were
// inferred from refused connections, which a partition can cause as well. An answer alone proves
// nothing, because it may have been buffered or come from a later incarnation under the same ID.
func (g *Registry) RecordAnswer(start core.Start, opened, sent time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.uncleared[start] == 0 {
		return
	}
	now := g.clock.Now()
	for _, s := range g.suspects {
		for _, r := range s.uncleared() {
			if r.Key().Start == start && opened.Before(r.observed.Add(-observationSlack)) && sent.After(r.observed) {
				g.clear(r, now)
			}
		}
	}
}

// clearAll clears all terminations recorded against a request.
func (g *Registry) clearAll(s *suspect, now time.Time) {
	for _, r := range s.uncleared() {
		g.clear(r, now)
	}
}

// clear marks a termination as not caused by its request and publishes that.
func (g *Registry) clear(r *record, now time.Time) {
	g.uncountTermination(r)
	r.Cleared = true
	counts.Add("cleared", 1)
	g.touch(r, now, true)
	g.log.Info("request cleared of an instance termination", "digest", r.Digest.String(), "instance", r.Instance, "born", r.StartedAt)
}

// uncountTermination stops counting a termination against its request.
func (g *Registry) uncountTermination(r *record) {
	if r.Cleared {
		return
	}
	start := r.Key().Start
	g.uncleared[start]--
	if g.uncleared[start] <= 0 {
		delete(g.uncleared, start)
	}
}
