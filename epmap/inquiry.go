package epmap

import "geraniumpass/check"

// maxInconsistentInquiries bounds consecutive inquiries with inconsistent replies; each takes an
// agent restart during the inquiry.
const maxInconsistentInquiries = 8

// Inquire restarts the inquiry, for a leader that was disconnected or whose ranks have changed.
func (l *Leader) Inquire() {
	if l.Phase != PhaseDeposed {
		l.enterPhase(PhaseInquire)
	}
}

// resolveInquiry decides how to continue from the state of all ranks: a switch with a grant
// anywhere is completed, caps without a grant are removed.
func (l *Leader) resolveInquiry() {
	if l.inconsistent() {
		// The replies reflect different moments, which happens when an agent restarted between them
		// and lost its fence. Repeat the inquiry.
		l.inconsistentInquiries++
		check.Assert(check.OneMap, l.inconsistentInquiries < maxInconsistentInquiries, "ranks still inconsistent after %d inquiries: %+v", l.inconsistentInquiries, l.Ranks)
		l.enterPhase(PhaseInquire)
		return
	}
	l.inconsistentInquiries = 0
	if v, step, ok := l.findGrant(); ok {
		l.Plan = Plan{
			Version: v,
			Step:    step,
		}
		l.enterPhase(PhaseGrant)
		return
	}
	for i := range l.Ranks {
		if !l.Ranks[i].State.Capped {
			continue
		}
		if l.Phase == PhaseInquire {
			l.enterPhase(PhaseConfirm)
		} else {
			l.enterPhase(PhaseUncap)
		}
		return
	}
	l.Phase = PhaseSteady
}

// inconsistent reports whether a rank runs under a newer map than another rank that is not capped
// for that map.
func (l *Leader) inconsistent() bool {
	newest := l.Version()
	for i := range l.Ranks {
		s := &l.Ranks[i].State
		if s.Version != newest && (!s.Capped || s.CapMap != newest) {
			return true
		}
	}
	return false
}

// findGrant returns the version and step of a switch that has been granted to some ranks but not
// yet executed by all.
func (l *Leader) findGrant() (version, step uint64, ok bool) {
	newest := l.Version()
	for i := range l.Ranks {
		s := &l.Ranks[i].State
		if s.Granted {
			return s.GrantMap, s.GrantStep, true
		}
		if s.Version != newest {
			return newest, s.CapStep, true
		}
	}
	return 0, 0, false
}

// finishUncap enters PhaseSteady, or restarts the inquiry when a rank still holds a cap that this
// leader did not remove.
func (l *Leader) finishUncap() {
	l.Phase = PhaseSteady
	for i := range l.Ranks {
		if l.Ranks[i].State.Capped {
			l.enterPhase(PhaseInquire)
			return
		}
	}
}
