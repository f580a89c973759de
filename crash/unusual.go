package crash

import (
	"bytes"
	"cmp"
	"math"
	"slices"
)

// maxRecordedSegments bounds the segments recorded per request.
const maxRecordedSegments = 32

// unusual is a segment of a request at a termination.
type unusual struct {
	digest   Digest
	requests int
	// surprisal is that of one more termination with the segment, given its share of the requests and the
	// terminations that count already.
	surprisal float64
}

// pattern is what segments of one prompt have in common that can't be told apart.
type pattern struct {
	requests  int
	surprisal float64
}

// recordedSegments returns the segments of a request that a termination counts against: the most unusual
// ones, but one of each pattern before another one of the same. All entries choose the same ones of a
// pattern, so that the terminations that they record add up.
func (g *Registry) recordedSegments(segments []Digest) []Digest {
	if len(segments) <= maxRecordedSegments {
		return segments
	}
	ranked := make([]unusual, 0, len(segments))
	for _, d := range segments {
		ranked = append(ranked, g.unusual(d))
	}
	slices.SortFunc(ranked, func(a, b unusual) int {
		return cmp.Or(cmp.Compare(b.surprisal, a.surprisal), bytes.Compare(a.digest[:], b.digest[:]))
	})
	seen := make(map[pattern]bool)
	var first, rest []Digest
	for _, u := range ranked {
		p := pattern{
			requests:  u.requests,
			surprisal: u.surprisal,
		}
		if seen[p] {
			rest = append(rest, u.digest)
			continue
		}
		seen[p] = true
		first = append(first, u.digest)
	}
	return append(first, rest...)[:maxRecordedSegments]
}

func (g *Registry) unusual(d Digest) unusual {
	terminations := 0
	if s := g.suspects[d]; s != nil {
		terminations = s.countUncleared()
	}
	return unusual{
		digest:    d,
		requests:  g.requestsWith(d),
		surprisal: -float64(terminations+1) * math.Log(g.share(d)),
	}
}
