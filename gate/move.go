package gate

import "time"

// canFailOver returns true when a request that its upstream keeps waiting may go on at another one, which is paid for then, and has the time to
// begin there. An upstream is left only if so: it may still answer, and nobody else would.
func (r *request) canFailOver() bool {
	if !r.route.Repeatable() || r.stream.unnumbered || r.sends >= r.route.Attempts || r.due().Sub(r.g.clock.Now()) < r.route.Aim || !r.hasAlternative() {
		return false
	}
	r.paid = r.paid || r.repeat()
	return r.paid
}

// hasAlternative returns true when there is an instance that the request was not sent to, that has not ended, that is not barred for its
// failures and that is not held back: a silent instance may still answer, one that fails would not.
func (r *request) hasAlternative() bool {
	snap := r.g.view.Now()
	now := r.g.clock.Now()
	fleet := fleetOf(snap)
	for _, in := range snap.Usable(r.service.Name) {
		if !r.tried[in.Start()] && !r.g.ended(snap, in) && !r.g.loads.isBarred(in.Start(), now) && !r.g.isHeldBack(in.Start(), fleet, now) {
			return true
		}
	}
	return false
}

// takeRepeat takes one repeat of the allowance, unless it was taken before the last upstream was left.
func (r *request) takeRepeat() bool {
	paid := r.paid || r.repeat()
	r.paid = false
	return paid
}

func (r *request) repeat() bool {
	return r.g.repeats.Repeat(r.g.clock.Now(), r.service.Name, entries(r.snap))
}

// stalled returns true when the time for a first event is over while nothing of the service answers: that speaks against no instance.
func (r *request) stalled(now time.Time) bool {
	return !r.firstEventDue.IsZero() && !r.stream.begun && !now.Before(r.firstEventDue) && !r.g.pulse.isAnswering(r.service.Name, now)
}
