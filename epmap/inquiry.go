package epmap

import "geraniumpass/check"

// maxDoubts is how many inquiries in a row may contradict themselves; each takes an agent that was restarted in its midst.
const maxDoubts = 8

// Inquire asks every rank anew, for a leader that was away or whose ranks have changed.
func (l *Leader) Inquire() {
	if l.Phase != PhaseDeposed {
		l.enter(PhaseInquire)
	}
}

// inquired decides from what all ranks hold: a grant anywhere is finished, promises without a grant are taken back.
func (l *Leader) inquired() {
	if l.contradictory() {
		// The answers are of different times, which happens when an agent lost its fence between them: ask again.
		l.doubts++
		check.Assert(check.OneMap, l.doubts < maxDoubts, "ranks still contradict each other after %d inquiries: %+v", l.doubts, l.Ranks)
		l.enter(PhaseInquire)
		return
	}
	l.doubts = 0
	if v, step, ok := l.granted(); ok {
		l.Plan = Plan{
			Version: v,
			Step:    step,
		}
		l.enter(PhaseGrant)
		return
	}
	for i := range l.Ranks {
		if !l.Ranks[i].State.Capped {
			continue
		}
		if l.Phase == PhaseInquire {
			l.enter(PhaseConfirm)
		} else {
			l.enter(PhaseUncap)
		}
		return
	}
	l.Phase = PhaseSteady
}

// contradictory returns true when one rank steps under a newer map than another that holds no promise for it.
func (l *Leader) contradictory() bool {
	newest := l.Version()
	for i := range l.Ranks {
		s := &l.Ranks[i].State
		if s.Version != newest && (!s.Capped || s.CapMap != newest) {
			return true
		}
	}
	return false
}

// granted finds a switch whose grant has reached a rank that others have not followed yet.
func (l *Leader) granted() (version, step uint64, ok bool) {
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

// uncapped looks again when a rank still holds a promise that this leader did not know of.
func (l *Leader) uncapped() {
	l.Phase = PhaseSteady
	for i := range l.Ranks {
		if l.Ranks[i].State.Capped {
			l.enter(PhaseInquire)
			return
		}
	}
}
