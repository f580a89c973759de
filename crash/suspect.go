package crash

import "time"

const (
	// enough is the weight of ends from which a request is refused. Of the requests that two instances were running when they ended, as a rule
	// only the one that ended them was at both.
	enough = 2.0
	// togetherWindow is within which instances count as ended together. What takes several at once is seldom one of their requests, and an
	// innocent one that goes on from one of them to the next is at both.
	togetherWindow = time.Second
	// togetherWeight is what an end among others weighs. It is not zero: such requests may come several at a time, or be sent on at once.
	togetherWeight = 0.5
	// atAll is from how many instances on that ended together a request that was at all of them is hardly innocent.
	atAll = 3
	// endsKept bounds the ends kept of one request.
	endsKept = 8
)

// record is one end as this process knows it.
type record struct {
	End
	// at is when the end was learned of, seen when it was last confirmed.
	at   time.Time
	seen time.Time
	// seq orders what this process has learned, for those who ask what is new.
	seq int64
	// own is true for what this process states itself.
	own bool
}

// suspect is a request under which instances have ended.
type suspect struct {
	digest  Digest
	account string
	ends    map[Place]*record
}

// seen returns when an end of the request was last confirmed.
func (s *suspect) seen() time.Time {
	var last time.Time
	for _, r := range s.ends {
		if r.seen.After(last) {
			last = r.seen
		}
	}
	return last
}

// counted returns the ends that have not been cleared.
func (s *suspect) counted() []*record {
	var out []*record
	for _, r := range s.ends {
		if !r.Cleared {
			out = append(out, r)
		}
	}
	return out
}

// next returns which end of a start a new one is: the last one known when that was a moment ago, seen by others too.
func (s *suspect) next(e End, now time.Time) int {
	again := 0
	for p, r := range s.ends {
		if p.Start != e.Place().Start {
			continue
		}
		if now.Sub(r.at) < togetherWindow {
			return p.Again
		}
		again = max(again, p.Again+1)
	}
	return again
}

// together returns true for ends at the same moment.
func together(a, b *record) bool {
	return (time.Duration(a.Time-b.Time) * time.Millisecond).Abs() < togetherWindow
}
