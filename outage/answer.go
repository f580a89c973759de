package outage

import "time"

const (
	// honoredShare is the share of its remaining time that a caller waits when it is told to.
	honoredShare = 0.33
	// openingMargin is added to the expected opening: the time in which entries hear of it.
	openingMargin = 150 * time.Millisecond
	// minMissingReturn is the least time after which callers with much time come back while ranks are
	// missing; missingMargin times the expected time is it otherwise, since that is a median.
	minMissingReturn = 4 * time.Second
	missingMargin    = 1.5
	// minReturn is the least time after which any caller comes back: one with hardly any time left must
	// not come back over and over until it is over.
	minReturn = 50 * time.Millisecond
	// MaxWait is how long a request waits at an entry for a group that forms. Callers expect answers
	// to begin within some hundred milliseconds, and are told to come back for anything longer.
	MaxWait = time.Second
)

// Caller is a request that no group can take.
type Caller struct {
	// Remaining is the time until the caller's deadline, and FirstEvent that until it disconnects if
	// its answer has not begun, zero if it doesn't.
	Remaining  time.Duration
	FirstEvent time.Duration
	// Aim is the time in which its answer should begin.
	Aim time.Duration
	// HasReturned reports whether the caller was refused before, so that it may not come back again.
	HasReturned bool
}

// Answer is what becomes of a request that no group can take. The zero value leaves it to what applies
// without an estimate.
type Answer struct {
	// Wait is the longest time that the request waits for the opening, zero if it is refused at once.
	Wait time.Duration
	// RetryAfter is when the caller of a refused request should come back, zero without an estimate.
	RetryAfter time.Duration
	// Hopeless is set if the group opens too late for the caller, which is then told a time that is
	// beyond its own.
	Hopeless bool
}

// Decide returns the answer for a caller, given the earliest opening of any group. later is how long after
// the opening the caller's turn comes, so that not all come in one moment.
func Decide(e Estimate, later time.Duration, c Caller) Answer {
	honored := time.Duration(honoredShare * float64(c.Remaining))
	switch e.Basis {
	case BasisForming:
		return decideForming(e.OpensIn+later, honored, c)
	case BasisBack:
		if !c.HasReturned {
			return Answer{}
		}
		return Answer{Wait: c.maxWait()}
	case BasisMissing:
		after := max(minMissingReturn, time.Duration(missingMargin*float64(e.OpensIn))+later)
		return Answer{RetryAfter: max(minReturn, min(after, honored))}
	}
	return Answer{}
}

func decideForming(turn, honored time.Duration, c Caller) Answer {
	after := turn + openingMargin
	if wait := c.maxWait(); c.HasReturned && wait > 0 && turn <= wait {
		return Answer{
			Wait:       wait,
			RetryAfter: min(after, honored),
		}
	}
	if after+c.Aim > c.Remaining {
		return Answer{
			RetryAfter: max(after, c.Remaining),
			Hopeless:   true,
		}
	}
	return Answer{RetryAfter: min(after, honored)}
}

// maxWait returns how long the request may wait so that its answer can still begin in time.
func (c *Caller) maxWait() time.Duration {
	wait := min(MaxWait, c.Remaining-c.Aim)
	if c.FirstEvent > 0 {
		wait = min(wait, c.FirstEvent-c.Aim)
	}
	return max(wait, 0)
}
