package crash

import "time"

const (
	// enough is the weight of ends from which a request is refused. Of the requests that two instances were running when they ended, as a rule
	// only the one that ended them was at both.
	enough = 2.0
	// massWindow and massEnds say when instances count as ended together; what takes several at once is seldom one of their requests.
	massWindow = time.Second
	massEnds   = 3
	// massWeight is what an end among many weighs. It is not zero: several such requests may come at the same moment.
	massWeight = 0.5
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
	ends    map[place]*record
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
		if p.start != e.place().start {
			continue
		}
		if now.Sub(r.at) < massWindow {
			return p.again
		}
		again = max(again, p.again+1)
	}
	return again
}
