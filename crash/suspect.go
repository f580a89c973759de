package crash

import (
	"time"

	"geraniumpass/core"
)

// maxTerminations bounds the terminations kept per request.
const maxTerminations = 8

// record is a termination with its local bookkeeping.
type record struct {
	Termination
	// observed is when the termination was learned of, confirmed when it was last confirmed.
	observed  time.Time
	confirmed time.Time
	// seq is the record's position in the sequence of changes returned by Since.
	seq int64
	// local is true for records that this process publishes.
	local bool
}

// suspect is a request that was running on instances when they terminated, or a segment of such
// requests.
type suspect struct {
	digest       Digest
	account      string
	segment      bool
	terminations map[TerminationKey]*record
	// blocked is true for a segment that is taken for the cause.
	blocked bool
	// since is when the first of a series of terminations that weren't cleared was observed. It may have
	// been displaced by later ones.
	since time.Time
	// seq is the highest sequence number of its terminations.
	seq int64
}

// extendSeries adds a termination observed at the given time to the series of those that count.
func (s *suspect) extendSeries(at time.Time) {
	if s.countUncleared() == 0 || at.Before(s.since) {
		s.since = at
	}
}

// lastConfirmed returns when a termination of the request was last confirmed.
func (s *suspect) lastConfirmed() time.Time {
	var last time.Time
	for _, r := range s.terminations {
		if r.confirmed.After(last) {
			last = r.confirmed
		}
	}
	return last
}

// uncleared returns the terminations that haven't been cleared.
func (s *suspect) uncleared() []*record {
	var out []*record
	for _, r := range s.terminations {
		if !r.Cleared {
			out = append(out, r)
		}
	}
	return out
}

// countUncleared returns how many terminations haven't been cleared.
func (s *suspect) countUncleared() int {
	n := 0
	for _, r := range s.terminations {
		if !r.Cleared {
			n++
		}
	}
	return n
}

// evictCleared drops the least recently confirmed cleared termination and reports whether there was
// one. A request that is repeated all day coincides with many terminations that it didn't cause.
func (s *suspect) evictCleared() bool {
	var oldest *record
	for _, r := range s.terminations {
		if r.Cleared && (oldest == nil || r.confirmed.Before(oldest.confirmed)) {
			oldest = r
		}
	}
	if oldest == nil {
		return false
	}
	delete(s.terminations, oldest.Key())
	return true
}

// recurrence returns the Recurrence of a termination that is observed now, by a request sent at the
// given time. If one of the same incarnation was observed within correlationWindow, it is that one's,
// because several requests and entries observe the same termination; it is another one if the request
// was sent later.
func (g *Registry) recurrence(start core.Start, sentAt, now time.Time) int {
	var last *record
	for _, s := range g.suspects {
		for key, r := range s.terminations {
			if key.Start != start || last != nil && r.Recurrence < last.Recurrence {
				continue
			}
			if last == nil || r.Recurrence > last.Recurrence || r.observed.Before(last.observed) {
				last = r
			}
		}
	}
	switch {
	case last == nil:
		return 0
	case now.Sub(last.observed) < correlationWindow && !last.observed.Before(sentAt):
		return last.Recurrence
	}
	return last.Recurrence + 1
}
