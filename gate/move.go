package gate

import "time"

// canFailOver reports whether a request may move from a silent instance to another one and has
// enough time left to begin there. If so, it reserves a retry. The request stays otherwise, because
// the silent instance may still answer and no other would.
func (r *request) canFailOver() bool {
	if !r.route.Repeatable() || r.stream.hasUnnumbered || r.sends >= r.route.Attempts || r.nextDeadline().Sub(r.g.clock.Now()) < r.route.Aim || !r.hasAlternative() {
		return false
	}
	r.retryReserved = r.retryReserved || r.spendRetry()
	return r.retryReserved
}

// hasAlternative reports whether there is an untried instance that is neither replaced, barred nor
// blocked, and not of a group that the request has left. A barred instance is no alternative: a
// silent instance may still answer, a failing one would not.
func (r *request) hasAlternative() bool {
	snap := r.g.view.Now()
	now := r.g.clock.Now()
	fleet := fleetOf(snap)
	for _, in := range snap.Usable(r.service.Name) {
		if !r.tried[in.Start()] && !r.hasLeft(in.Start()) && !r.g.isReplaced(snap, in) && !r.g.loads.isBarred(in.Start(), now) && !r.g.isBlocked(in.Start(), fleet, now) {
			return true
		}
	}
	return false
}

// takeRetry spends one retry of the budget, unless canFailOver has reserved it already.
func (r *request) takeRetry() bool {
	ok := r.retryReserved || r.spendRetry()
	r.retryReserved = false
	return ok
}

func (r *request) spendRetry() bool {
	return r.g.retryBudget.TryRetry(r.g.clock.Now(), r.service.Name, entryCount(r.snap))
}

// isServiceStalled reports whether the first event is overdue while the whole service is silent.
// The loss then is not counted against the instance.
func (r *request) isServiceStalled(now time.Time) bool {
	return !r.firstEventDeadline.IsZero() && !r.stream.started && !now.Before(r.firstEventDeadline) && !r.g.health.isAnswering(r.service.Name, now)
}
