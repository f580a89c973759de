package crash

import (
	"time"

	"geraniumpass/core"
)

// atSlack is by how much an end may be older than it seems here: news of it come by the store within about a second.
const atSlack = time.Second

// Whole notes that a request was run without its instance ending, which clears it of the ends so far.
func (g *Registry) Whole(d Digest) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	g.wholes.add(d, now)
	if s := g.suspects[d]; s != nil {
		g.clearAll(s, now)
	}
}

// Answered notes that a start of an instance answered a request that was sent at a time, over a connection opened at another: it has not
// ended in between, whatever was concluded from a refused connection, as a partition may refuse some too. An answer alone would not tell:
// it may have lain in a buffer, or come from a later start under the same id.
func (g *Registry) Answered(start core.Start, opened, sent time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ended[start] == 0 {
		return
	}
	now := g.clock.Now()
	for _, s := range g.suspects {
		for _, r := range s.counted() {
			if r.Place().Start == start && opened.Before(r.at.Add(-atSlack)) && sent.After(r.at) {
				g.clear(r, now)
			}
		}
	}
}

// clearAll frees a request of its ends.
func (g *Registry) clearAll(s *suspect, now time.Time) {
	for _, r := range s.counted() {
		g.clear(r, now)
	}
}

// clear frees a request of an end and states so.
func (g *Registry) clear(r *record, now time.Time) {
	g.uncount(r)
	r.Cleared = true
	counts.Add("cleared", 1)
	g.note(r, now, true)
	g.log.Info("request cleared of an end", "digest", r.Digest.String(), "instance", r.Instance, "born", r.Born)
}

// uncount notes that an end counts against its request no more.
func (g *Registry) uncount(r *record) {
	if r.Cleared {
		return
	}
	start := r.Place().Start
	g.ended[start]--
	if g.ended[start] <= 0 {
		delete(g.ended, start)
	}
}
