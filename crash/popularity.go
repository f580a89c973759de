package crash

import (
	"maps"
	"time"
)

const (
	// popularityWindow is the time over which requests are counted; shares are those of the current
	// window and the one before it.
	popularityWindow = 2 * time.Minute
	// maxCountedSegments bounds the segments counted in a window.
	maxCountedSegments = 4096
)

// popularity counts which share of the requests have a segment.
type popularity struct {
	endsAt   time.Time
	current  tally
	previous tally
}

type tally struct {
	requests  int
	bySegment map[Digest]int
	// full is true once most of the counted segments recur.
	full bool
}

// add counts a request with the given segments.
func (p *popularity) add(segments []Digest, now time.Time) {
	p.advance(now)
	p.current.requests++
	for _, d := range segments {
		if _, ok := p.current.bySegment[d]; ok || p.current.makeRoom() {
			p.current.bySegment[d]++
		}
	}
}

// makeRoom reports whether another segment can be counted. It drops segments seen once if there is no
// room, so that segments that callers invent displace none that recurs.
func (t *tally) makeRoom() bool {
	if len(t.bySegment) >= maxCountedSegments && !t.full {
		maps.DeleteFunc(t.bySegment, func(_ Digest, n int) bool { return n == 1 })
		t.full = len(t.bySegment) > maxCountedSegments/2
	}
	return len(t.bySegment) < maxCountedSegments
}

func (p *popularity) advance(now time.Time) {
	if now.Before(p.endsAt) {
		return
	}
	p.previous = p.current
	if now.Sub(p.endsAt) >= popularityWindow {
		p.previous = tally{}
	}
	p.current = tally{bySegment: make(map[Digest]int)}
	p.endsAt = now.Add(popularityWindow)
}

func (p *popularity) requests() int {
	return p.current.requests + p.previous.requests
}

func (p *popularity) count(d Digest) int {
	return p.current.bySegment[d] + p.previous.bySegment[d]
}
