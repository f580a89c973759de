package crash

import "time"

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

// suspect is a request that was running on instances when they terminated.
type suspect struct {
	digest       Digest
	account      string
	terminations map[TerminationKey]*record
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

// recurrence returns the Recurrence of a new termination. If a termination of the same incarnation
// was observed within correlationWindow, it returns that one's, because several entries observe the
// same termination.
func (s *suspect) recurrence(e Termination, now time.Time) int {
	next := 0
	for key, r := range s.terminations {
		if key.Start != e.Key().Start {
			continue
		}
		if now.Sub(r.observed) < correlationWindow {
			return key.Recurrence
		}
		next = max(next, key.Recurrence+1)
	}
	return next
}
