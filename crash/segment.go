package crash

import (
	"slices"
	"time"
)

const (
	// maxSegmentTerminations bounds the terminations kept per segment.
	maxSegmentTerminations = 24
	// evaluationInterval is how often segments are evaluated again while no termination changes.
	evaluationInterval = 100 * time.Millisecond
)

// CountRequest counts a request with the given segments, from which is known how common each is.
func (g *Registry) CountRequest(segments []Digest) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	g.popularity.add(segments, now)
	g.observed.requests.observe(segments, 0, now, now)
	g.recordUncounted(now)
}

// BlockedSegment returns the first of the segments whose requests must not be sent to any instance.
func (g *Registry) BlockedSegment(segments []Digest) (Digest, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.areSuspect(segments) {
		return Digest{}, false
	}
	now := g.clock.Now()
	if g.evaluatedSeq != g.seq || now.Sub(g.evaluatedAt) >= evaluationInterval {
		g.evaluateSegments()
		g.evaluatedSeq, g.evaluatedAt = g.seq, now
	}
	for _, d := range segments {
		if s := g.suspects[d]; s != nil && s.blocked {
			counts.Add("segments_refused", 1)
			return d, true
		}
	}
	return Digest{}, false
}

func (g *Registry) areSuspect(segments []Digest) bool {
	return slices.ContainsFunc(segments, func(d Digest) bool { return g.suspects[d] != nil })
}

// RecordBegin records that an instance began to answer a request with segments that was sent at the given
// time. One that terminates as it begins may do that too, so it clears nothing.
func (g *Registry) RecordBegin(segments []Digest, sent time.Time) {
	if len(segments) == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.outcomes.add(outcome{
		sent:     sent,
		begun:    true,
		segments: segments,
	})
	g.observed.outcomes.observe(segments, OutcomeBegun, sent, g.clock.Now())
}

// RecordProgress records that an instance went on after it had begun to answer a request sent at the
// given time. It clears the segments of the terminations observed before: a segment that caused one
// of them would have terminated this instance too. What was sent earlier proves nothing, because a
// segment may become fatal.
func (g *Registry) RecordProgress(segments []Digest, sent time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	for _, d := range segments {
		s := g.suspects[d]
		if s == nil {
			continue
		}
		for _, r := range s.uncleared() {
			if r.observed.Before(sent) {
				g.clear(r, now)
			}
		}
	}
}

// recordSegments records a termination against the segments of a request.
func (g *Registry) recordSegments(segments []Digest, request Termination, now time.Time) {
	for _, d := range g.recordedSegments(segments) {
		e := request
		e.Digest, e.Account = d, ""
		e.Segment, e.Unanswered = true, false
		g.apply(e, now, true)
	}
}
