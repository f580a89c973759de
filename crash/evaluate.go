package crash

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// minSegmentWeight is the least total weight of the terminations that a segment is blocked for. One
	// request and its repetition coincide with two.
	minSegmentWeight = 3.0
	// minSurprisal is the negative logarithm of the probability below which a segment's presence at so
	// many terminations is not taken for chance.
	minSurprisal = 4.6
	// minMoreRequests is how many more requests must have a segment than another one, or how many observed
	// ones must have it without that one, for it to be known to occur without that one.
	minMoreRequests = 3
	// minEvaluatedRequests is the number of requests, of all entries, from which this entry knows how
	// common segments are. An entry that knows of fewer relies on the others.
	minEvaluatedRequests = 20
)

// segmentTerminations returns the terminations that count against any segment and when each was
// observed first.
func (g *Registry) segmentTerminations() map[TerminationKey]time.Time {
	out := make(map[TerminationKey]time.Time)
	for _, s := range g.suspects {
		if !s.segment {
			continue
		}
		for key, r := range s.terminations {
			if at, ok := out[key]; !ok || r.observed.Before(at) {
				out[key] = r.observed
			}
		}
	}
	return out
}

// evidence is a segment with the evidence against it.
type evidence struct {
	*suspect
	keys      map[TerminationKey]float64
	surprisal float64
	// others is the number of known terminations that don't count against the segment.
	others int
	// requests is the number of counted requests with the segment.
	requests int
	// simultaneous is true if all terminations coincide, so that the segment may explain others but isn't
	// blocked.
	simultaneous bool
	// without counts the observed requests without the segment by their segments.
	without map[uint32]int
}

// evaluateSegments decides which segments are blocked. The most surprising ones explain the terminations
// that they were present at; a segment that accompanies them and occurs without them is not blocked, as
// the common segments of fatal prompts are. Those that can't be told apart are all blocked.
func (g *Registry) evaluateSegments() {
	all := g.segmentTerminations()
	var candidates []evidence
	for _, s := range g.suspects {
		if !s.segment {
			continue
		}
		if c, ok := g.evidenceAgainst(s, all); ok {
			candidates = append(candidates, c)
			continue
		}
		s.blocked = false
	}
	slices.SortFunc(candidates, func(a, b evidence) int { return cmp.Compare(b.surprisal, a.surprisal) })
	var causes []evidence
	for _, c := range candidates {
		was := c.blocked
		isCause := c.unexplainedWeight(causes) >= minSegmentWeight && (was || g.isSufficient(c))
		c.blocked = isCause && !c.simultaneous
		if !isCause {
			continue
		}
		c.without = g.observed.requests.without(c.digest)
		causes = append(causes, c)
		if c.blocked && !was {
			g.block(c)
		}
	}
}

// evidenceAgainst returns the evidence against a segment; ok is false if it is too little.
func (g *Registry) evidenceAgainst(s *suspect, all map[TerminationKey]time.Time) (c evidence, ok bool) {
	c = evidence{
		suspect:  s,
		keys:     make(map[TerminationKey]float64),
		requests: g.requestsWith(s.digest),
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
	if c.unexplainedWeight(nil) < minSegmentWeight {
		return c, false
	}
	c.simultaneous = !s.isBlockedAnywhere() && last.Sub(s.since) < correlationWindow
	c.others = len(all) - len(c.keys)
	share := g.share(s.digest)
	var present, absent []float64
	for key, observed := range all {
		p := 1 - math.Pow(1-share, float64(g.unansweredAt(key)))
		if _, own := c.keys[key]; own {
			present = append(present, p)
		} else if !observed.Before(first) && !observed.After(last) {
			absent = append(absent, p)
		}
	}
	unanswered := g.unansweredSurprisal(s.digest, len(c.keys), first)
	c.surprisal = max(surprisal(present, absent), unanswered)
	return c, true
}

// unexplainedWeight returns the total weight of the terminations that no other cause explains. A segment
// is explained only by those that it occurs without.
func (c evidence) unexplainedWeight(causes []evidence) float64 {
	sum := 0.0
	for key, weight := range c.keys {
		explained := slices.ContainsFunc(causes, func(other evidence) bool {
			_, ok := other.keys[key]
			return ok && (c.requests >= other.requests+minMoreRequests || other.without[c.digest.prefix()] >= minMoreRequests)
		})
		if !explained {
			sum += weight
		}
	}
	return sum
}

// isSufficient reports whether the evidence suffices to block a segment. An entry with too few requests
// to know how common segments are follows the others. So does one that has half of the evidence: a
// segment seems common where most of its requests arrive.
func (g *Registry) isSufficient(c evidence) bool {
	// The more terminations have other causes, the more likely it is that some series of them coincides
	// with a segment.
	least := minSurprisal + math.Log1p(float64(c.others))
	switch {
	case g.requests() < minEvaluatedRequests:
		return c.isBlockedAnywhere()
	case c.isBlockedAnywhere():
		return c.surprisal >= least/2
	}
	return c.surprisal >= least
}

// isBlockedAnywhere reports whether an entry has blocked the segment for terminations that still count.
func (s *suspect) isBlockedAnywhere() bool {
	return slices.ContainsFunc(s.uncleared(), func(r *record) bool { return r.Blocked })
}

// block marks the terminations of a segment as those of a blocked one, for entries with too few requests to evaluate it.
func (g *Registry) block(c evidence) {
	for _, r := range c.uncleared() {
		r.Blocked = true
		g.touch(r, r.confirmed, true)
	}
	g.log.Warn("blocking requests whose prompts have a segment that coincided with instance terminations",
		"segment", c.digest.String(), "ends", len(c.keys), "surprisal", math.Round(c.surprisal*10)/10, "share", g.share(c.digest))
}
