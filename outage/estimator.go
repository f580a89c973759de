package outage

import "time"

const (
	// MissingUnknown is the number of missing ranks while no leader tells it.
	MissingUnknown = -1
	// maxForming is the longest forming time that is learned. Anything longer was no forming, but a
	// rank that was missing unseen.
	maxForming = 10 * time.Second
	// maxUnseen is how long before a rank sees that its group is closed the last missing rank may have
	// been back. A leader that has not noticed yet that ranks are missing tells a longer time.
	maxUnseen = 500 * time.Millisecond
	// formingShare is the share of the forming times that an estimate is not below: a caller that
	// comes back too early is refused for good, one that comes a little late is served.
	formingShare = 0.75
	// minOverdue and overdueShare bound how long after the expected opening a group still counts as
	// forming, as a time and as a share of the forming time.
	minOverdue   = 250 * time.Millisecond
	overdueShare = 0.5
)

// Observation is what is known of a group at one moment.
type Observation struct {
	// Open reports whether the group accepts requests.
	Open bool
	// Missing is the number of ranks that are not heard, MissingUnknown if nobody tells it.
	Missing int
	// BackFor is how long ago the last missing rank was back, if Missing is zero.
	BackFor time.Duration
}

// Estimator learns how long ranks stay away and how long a group takes to open once they are back. The
// zero value has observed nothing.
type Estimator struct {
	isClosed bool
	// missing is the newest known number of missing ranks; isTold is set if the last observation told it.
	missing int
	isTold  bool
	// isExact is set if forming was observed to begin.
	isExact bool
	// closedAt is when the group was first observed closed; missingAt and formingAt are when ranks were
	// first missing and when none was any more, zero if that was not observed.
	closedAt  time.Time
	missingAt time.Time
	formingAt time.Time
	// expected is the forming time that was expected as forming began, zero if none was.
	expected time.Duration

	absences durations
	formings durations
}

// Observe takes an observation made at now. It returns the outage if one has just ended.
func (e *Estimator) Observe(now time.Time, o Observation) (ended Outage, ok bool) {
	before, wasTold := e.missing, e.isTold
	if e.isTold = o.Missing != MissingUnknown; e.isTold {
		e.missing = o.Missing
	}
	if o.Missing > 0 && e.missingAt.IsZero() {
		e.missingAt = now
	}
	if o.Open {
		ended, ok = e.open(now)
		if ok && !e.isTold {
			// The number is from before the opening.
			e.missing = 0
		}
		switch {
		case e.missing == 0:
			e.missingAt = time.Time{}
		case e.missingAt.IsZero():
			e.missingAt = now
		}
		return ended, ok
	}
	wasClosed := e.isClosed
	if !wasClosed {
		e.isClosed, e.closedAt = true, now
	}
	// A rank that was cut off itself, or has just started, is told only that none is missing.
	backAt := now.Add(-o.BackFor)
	isBack := wasClosed && !wasTold && e.formingAt.IsZero() && e.closedAt.Sub(backAt) < maxUnseen
	switch {
	case o.Missing > 0:
		e.formingAt = time.Time{}
	case o.Missing == 0 && (before > 0 || isBack):
		e.formingAt = now.Add(-min(o.BackFor, now.Sub(e.beganAt())))
		e.isExact = wasTold || o.BackFor > 0
		e.expected, _ = e.formings.quantile(formingShare)
	}
	return Outage{}, false
}

// beganAt returns the earliest time at which the ranks missing can have been back.
func (e *Estimator) beganAt() time.Time {
	if e.missingAt.IsZero() {
		return e.closedAt
	}
	return e.missingAt
}

// open ends an outage if the group was closed, and learns from it.
func (e *Estimator) open(now time.Time) (ended Outage, ok bool) {
	if !e.isClosed {
		return Outage{}, false
	}
	ended = Outage{Closed: now.Sub(e.closedAt)}
	if !e.formingAt.IsZero() && e.isExact {
		ended.Forming, ended.ExpectedForming = now.Sub(e.formingAt), e.expected
		if !e.missingAt.IsZero() {
			ended.Missing = e.formingAt.Sub(e.missingAt)
			e.absences.add(ended.Missing)
		}
		if ended.Forming <= maxForming {
			e.formings.add(ended.Forming)
		}
	}
	e.isClosed = false
	e.missingAt, e.formingAt = time.Time{}, time.Time{}
	return ended, true
}

// Estimate returns when the group opens as of now.
func (e *Estimator) Estimate(now time.Time) Estimate {
	forming, ok := e.formings.quantile(formingShare)
	switch {
	case !e.isClosed:
		return Estimate{}
	case !e.formingAt.IsZero():
		elapsed := now.Sub(e.formingAt)
		overdue := max(minOverdue, time.Duration(overdueShare*float64(forming)))
		if !ok && elapsed <= maxForming {
			return Estimate{Basis: BasisBack}
		}
		if !ok || elapsed > forming+overdue {
			return Estimate{}
		}
		return Estimate{
			Basis:   BasisForming,
			OpensIn: max(0, forming-elapsed),
		}
	case e.missing > 0:
		left, known := e.absences.remaining(now.Sub(e.missingAt))
		if !ok || !known {
			return Estimate{Missing: e.missing}
		}
		return Estimate{
			Basis:   BasisMissing,
			Missing: e.missing,
			OpensIn: left + forming,
		}
	}
	return Estimate{}
}

// Phase returns the phase that the group is in.
func (e *Estimator) Phase() Phase {
	switch {
	case !e.isClosed:
		return PhaseOpen
	case !e.formingAt.IsZero():
		return PhaseForming
	case e.missing > 0:
		return PhaseMissing
	}
	return PhaseClosed
}
