package crash

import "time"

// endsKept bounds the ends kept of one request.
const endsKept = 8

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

// dropCleared forgets the cleared end that was confirmed least lately and returns false when there is none: a request that runs all day is at
// many ends which are not its doing.
func (s *suspect) dropCleared() bool {
	var oldest *record
	for _, r := range s.ends {
		if r.Cleared && (oldest == nil || r.seen.Before(oldest.seen)) {
			oldest = r
		}
	}
	if oldest == nil {
		return false
	}
	delete(s.ends, oldest.Place())
	return true
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
