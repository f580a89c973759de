package crash

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// maxSegmentTerminations bounds the terminations kept per segment.
	maxSegmentTerminations = 24
	// maxRecordedSegments bounds the segments recorded per request, the last ones.
	maxRecordedSegments = 16
	// minSegmentWeight is the least total weight of the terminations that a segment is blocked for. One
	// request and its repetition coincide with two.
	minSegmentWeight = 3.0
	// minSurprise is the negative logarithm of the probability, below which it is not taken for chance
	// that a segment was present at that many terminations.
	minSurprise = 4.6
	// minJudgedRequests is the number of requests from which this entry knows how common segments
	// are. An entry that has seen fewer relies on the others.
	minJudgedRequests = 20
	// minTilt, maxTilt and tiltStep are the values of the free parameter for which the bound of a
	// probability is computed.
	minTilt  = 0.125
	maxTilt  = 64.0
	tiltStep = 1.25
	// judgingInterval is how often segments are judged again while no termination changes.
	judgingInterval = 100 * time.Millisecond
)

// CountRequest counts a request with the given segments, from which is known how common each is.
func (g *Registry) CountRequest(segments []Digest) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.popularity.add(segments, g.clock.Now())
}

// BlockedSegment returns the first of the segments whose requests must not be sent to any instance.
func (g *Registry) BlockedSegment(segments []Digest) (Digest, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.areSuspect(segments) {
		return Digest{}, false
	}
	now := g.clock.Now()
	if g.judgedSeq != g.seq || now.Sub(g.judgedAt) >= judgingInterval {
		g.judgeSegments()
		g.judgedSeq, g.judgedAt = g.seq, now
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
	for _, d := range segments[max(0, len(segments)-maxRecordedSegments):] {
		e := request
		e.Digest, e.Account = d, ""
		e.Segment, e.Unanswered = true, false
		g.apply(e, now, true)
	}
}

// termination is what is known of one termination from the records of requests and segments.
type termination struct {
	observed time.Time
	// requests is the number of requests that may have caused it.
	requests int
}

// segmentTerminations returns the terminations that count against any segment.
func (g *Registry) segmentTerminations() map[TerminationKey]*termination {
	out := make(map[TerminationKey]*termination)
	for _, s := range g.suspects {
		if !s.segment {
			continue
		}
		for key, r := range s.terminations {
			t := out[key]
			if t == nil {
				t = &termination{observed: r.observed}
				out[key] = t
			}
			if r.observed.Before(t.observed) {
				t.observed = r.observed
			}
		}
	}
	for _, s := range g.suspects {
		for key, r := range s.terminations {
			if t := out[key]; t != nil && r.Unanswered {
				t.requests++
			}
		}
	}
	return out
}

// charge is a segment with the evidence against it.
type charge struct {
	*suspect
	keys     map[TerminationKey]float64
	surprise float64
}

// judgeSegments decides which segments are blocked. The most surprising ones explain the terminations
// that they were present at; a segment that only accompanies them is not blocked, as the common
// segments of fatal prompts are.
func (g *Registry) judgeSegments() {
	all := g.segmentTerminations()
	var charges []charge
	for _, s := range g.suspects {
		if !s.segment {
			continue
		}
		if c, ok := g.chargeOf(s, all); ok {
			charges = append(charges, c)
			continue
		}
		s.blocked = false
	}
	slices.SortFunc(charges, func(a, b charge) int {
		if c := cmp.Compare(b.surprise, a.surprise); c != 0 {
			return c
		}
		return slices.Compare(a.digest[:], b.digest[:])
	})
	explained := make(map[TerminationKey]bool)
	for _, c := range charges {
		was := c.blocked
		c.blocked = c.unexplainedWeight(explained) >= minSegmentWeight && (was || g.isConvicted(c))
		if !c.blocked {
			continue
		}
		for key := range c.keys {
			explained[key] = true
		}
		if !was {
			g.block(c)
		}
	}
}

// chargeOf returns the evidence against a segment; ok is false if it is too little to judge.
func (g *Registry) chargeOf(s *suspect, all map[TerminationKey]*termination) (c charge, ok bool) {
	c = charge{
		suspect: s,
		keys:    make(map[TerminationKey]float64),
	}
	var first, last time.Time
	for _, r := range s.uncleared() {
		weight := 1.0
		if r.Uncertain {
			weight = reducedWeight
		}
		c.keys[r.Key()] = weight
		if first.IsZero() || r.observed.Before(first) {
			first = r.observed
		}
		last = later(last, r.observed)
	}
	if c.unexplainedWeight(nil) < minSegmentWeight || last.Sub(first) < correlationWindow {
		return c, false
	}
	share := g.popularity.share(s.digest)
	var present, absent []float64
	for key, t := range all {
		p := 1 - math.Pow(1-share, float64(max(1, t.requests)))
		if _, own := c.keys[key]; own {
			present = append(present, p)
		} else if !t.observed.Before(first) && !t.observed.After(last) {
			absent = append(absent, p)
		}
	}
	c.surprise = surprise(present, absent)
	return c, true
}

// unexplainedWeight returns the total weight of the terminations that other segments don't explain.
func (c charge) unexplainedWeight(explained map[TerminationKey]bool) float64 {
	sum := 0.0
	for key, weight := range c.keys {
		if !explained[key] {
			sum += weight
		}
	}
	return sum
}

// isConvicted reports whether the evidence suffices to block a segment. An entry with too few requests
// to know how common segments are follows the others.
func (g *Registry) isConvicted(c charge) bool {
	if g.popularity.requests() >= minJudgedRequests {
		return c.surprise >= minSurprise
	}
	return slices.ContainsFunc(c.uncleared(), func(r *record) bool { return r.Blocked })
}

// block marks the terminations of a segment as those of a blocked one, for entries that can't judge.
func (g *Registry) block(c charge) {
	for _, r := range c.uncleared() {
		r.Blocked = true
		g.touch(r, r.confirmed, true)
	}
	g.log.Warn("blocking requests whose prompts have a segment that coincided with instance terminations",
		"segment", c.digest.String(), "ends", len(c.keys), "surprise", math.Round(c.surprise*10)/10, "share", g.popularity.share(c.digest))
}

// surprise returns the negative logarithm of a bound of the probability that something is present by
// chance as often as it is, or more (Chernoff). The probabilities are those at the terminations where it
// is present and where it is not; the less likely its presence, the more it weighs.
func surprise(present, absent []float64) float64 {
	best := 0.0
	for t := minTilt; t <= maxTilt; t *= tiltStep {
		sum := 0.0
		for _, p := range present {
			sum -= math.Log(p + (1-p)*math.Pow(p, t))
		}
		for _, p := range absent {
			sum -= math.Log(1 - p + math.Pow(p, 1-t))
		}
		best = max(best, sum)
	}
	return best
}
