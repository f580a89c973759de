package crash

import (
	"encoding/binary"
	"slices"
	"time"
)

// maxUncountedRuns bounds the runs that are kept until requests are counted.
const maxUncountedRuns = 16

// uncountedRun is a run of a long prompt that ended while too few requests were known to tell which of its
// segments are unusual.
type uncountedRun struct {
	termination Termination
	at          time.Time
	segments    []Digest
}

// keepUncounted keeps a run if its segments can't be told apart yet. There is no need to keep short ones, of
// which all segments are recorded.
func (g *Registry) keepUncounted(segments []Digest, e Termination, now time.Time) {
	if len(segments) <= maxRecordedSegments || g.requests() >= minEvaluatedRequests {
		return
	}
	if len(g.uncounted) >= maxUncountedRuns {
		g.uncounted = slices.Delete(g.uncounted, 0, 1)
	}
	g.uncounted = append(g.uncounted, uncountedRun{
		termination: e,
		at:          now,
		segments:    segments,
	})
}

// recordUncounted records the kept terminations once more, against the segments that are unusual by what
// is known now. Each is recorded once, so that it counts against at most twice as many segments.
func (g *Registry) recordUncounted(now time.Time) {
	if len(g.uncounted) == 0 || g.requests() < minEvaluatedRequests {
		return
	}
	kept := g.uncounted
	g.uncounted = nil
	begun := g.lastBegun()
	for _, one := range kept {
		e := one.termination
		e.Age = now.Sub(one.at)
		if e.Age >= observationTTL {
			continue
		}
		// What cleared a segment has passed and wouldn't clear it again.
		rest := slices.DeleteFunc(slices.Clone(one.segments), func(d Digest) bool { return begun[d.prefix()].After(one.at) })
		g.recordSegments(rest, e, now)
	}
}

// lastBegun returns when the latest request with each segment was sent whose answer began.
func (g *Registry) lastBegun() map[uint32]time.Time {
	out := make(map[uint32]time.Time)
	for _, o := range g.observed.outcomes.items {
		if o.Outcome != OutcomeBegun {
			continue
		}
		for i := 0; i < len(o.Segments); i += prefixSize {
			prefix := binary.BigEndian.Uint32(o.Segments[i:])
			out[prefix] = later(out[prefix], o.at)
		}
	}
	for _, o := range g.outcomes.ring {
		if !o.begun {
			continue
		}
		for _, d := range o.segments {
			out[d.prefix()] = later(out[d.prefix()], o.sent)
		}
	}
	return out
}
