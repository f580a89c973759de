package outage

import (
	"testing"
	"time"
)

const tick = 50 * time.Millisecond

// course plays an outage in which ranks are missing and then the group forms, and returns its end.
func course(e *Estimator, now time.Time, missing, forming time.Duration) time.Time {
	e.Observe(now, Observation{Open: true})
	for begin := now; now.Sub(begin) < missing; now = now.Add(tick) {
		e.Observe(now, Observation{Missing: 3})
	}
	for begin := now; now.Sub(begin) < forming; now = now.Add(tick) {
		e.Observe(now, Observation{})
	}
	e.Observe(now, Observation{Open: true})
	return now
}

// TestEstimates guards against a time told to callers before anything was seen, against one that is too
// early, and against a group that counts as forming for good.
func TestEstimates(t *testing.T) {
	ms := time.Millisecond
	tests := []struct {
		name     string
		absences []time.Duration
		missing  time.Duration
		forming  time.Duration
		want     Estimate
	}{
		{name: "nothing seen, ranks missing", missing: 500 * ms, want: Estimate{Missing: 3}},
		{name: "nothing seen, ranks back", missing: 500 * ms, forming: 200 * ms, want: Estimate{Basis: BasisBack}},
		{name: "forming", absences: []time.Duration{4 * time.Second}, missing: 500 * ms, forming: 200 * ms, want: Estimate{Basis: BasisForming, OpensIn: 400 * ms}},
		{name: "forming, a little overdue", absences: []time.Duration{4 * time.Second}, missing: 500 * ms, forming: 800 * ms, want: Estimate{Basis: BasisForming}},
		{name: "forming, overdue", absences: []time.Duration{4 * time.Second}, missing: 500 * ms, forming: time.Second},
		{name: "missing", absences: []time.Duration{4 * time.Second, 5 * time.Second, 9 * time.Second}, missing: 2 * time.Second, want: Estimate{Basis: BasisMissing, Missing: 3, OpensIn: 3600 * ms}},
		{name: "missing for longer than ever", absences: []time.Duration{4 * time.Second}, missing: 8 * time.Second, want: Estimate{Basis: BasisMissing, Missing: 3, OpensIn: 8600 * ms}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var e Estimator
			now := time.Unix(1_000, 0)
			for _, absence := range tt.absences {
				now = course(&e, now, absence, 600*ms).Add(time.Second)
			}
			e.Observe(now, Observation{Missing: 3})
			now = now.Add(tt.missing)
			e.Observe(now, Observation{Missing: 3})
			if tt.forming > 0 {
				e.Observe(now, Observation{})
				now = now.Add(tt.forming)
				e.Observe(now, Observation{})
			}
			if got := e.Estimate(now); got != tt.want {
				t.Errorf("got %+v, want %+v", got, tt.want)
			}
		})
	}
}

// TestNoFormingWithoutReturn guards against callers that are told that a group is about to open which closed
// before its leader noticed that ranks are missing, or whose leader is gone.
func TestNoFormingWithoutReturn(t *testing.T) {
	tests := []struct {
		name string
		seen []Observation
		want Phase
	}{
		{"not noticed yet", []Observation{{Open: true}, {}}, PhaseClosed},
		{"leader gone with ranks missing", []Observation{{Open: true}, {Missing: 3}, {Missing: MissingUnknown}}, PhaseMissing},
		{"another leader, ranks still missing", []Observation{{Open: true}, {Missing: 3}, {Missing: MissingUnknown}, {Missing: 2}}, PhaseMissing},
		{"another leader, ranks back", []Observation{{Open: true}, {Missing: 3}, {Missing: MissingUnknown}, {}}, PhaseForming},
		{"cut off itself and back", []Observation{{Open: true}, {Missing: MissingUnknown}, {Missing: MissingUnknown}, {}}, PhaseForming},
		{"a rank gone again", []Observation{{Open: true}, {Missing: 3}, {}, {Missing: 1}}, PhaseMissing},
		{"open", []Observation{{Open: true}, {Missing: 3}, {}, {Open: true}}, PhaseOpen},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var e Estimator
			now := time.Unix(1_000, 0)
			for _, o := range tt.seen {
				now = now.Add(tick)
				e.Observe(now, o)
			}
			if got := e.Phase(); got != tt.want {
				t.Errorf("phase is %s, want %s", got, tt.want)
			}
		})
	}
}

// TestFormingTimeIsForgottenSlowly guards against one odd opening that spoils the estimates that follow, and
// against a forming time that changed for good and is never learned.
func TestFormingTimeIsForgottenSlowly(t *testing.T) {
	var e Estimator
	now := time.Unix(1_000, 0)
	for range 6 {
		now = course(&e, now, time.Second, 600*time.Millisecond)
	}
	now = course(&e, now, time.Second, 5*time.Second)
	if got, _ := e.formings.quantile(formingShare); got != 600*time.Millisecond {
		t.Errorf("expects %s after one odd opening, want 600ms", got)
	}
	for range maxDurations {
		now = course(&e, now, time.Second, 300*time.Millisecond)
	}
	if got, _ := e.formings.quantile(formingShare); got != 300*time.Millisecond {
		t.Errorf("expects %s after the forming time has changed, want 300ms", got)
	}
}

// TestOpeningWithoutLeaderIsNoAbsence guards against a group that opens while no leader tells its missing ranks,
// and that counts as one whose ranks are missing for centuries when it closes again: the overflowing time makes
// entries ignore its statuses, and send requests to it.
func TestOpeningWithoutLeaderIsNoAbsence(t *testing.T) {
	tests := []struct {
		name string
		seen []Observation
	}{
		{"no leader at the opening", []Observation{{Missing: 3}, {Open: true, Missing: MissingUnknown}, {Missing: MissingUnknown}}},
		{"no leader after the opening", []Observation{{Missing: 3}, {Open: true, Missing: 3}, {Missing: MissingUnknown}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var e Estimator
			now := course(&e, time.Unix(1_000, 0), time.Second, 600*time.Millisecond)
			for _, o := range tt.seen {
				now = now.Add(tick)
				e.Observe(now, o)
			}
			if got := e.Estimate(now.Add(tick)); got.OpensIn < 0 || got.OpensIn > time.Minute {
				t.Errorf("the group opens in %s", got.OpensIn)
			}
		})
	}
}

// TestEstimateEndsInTime guards against callers that are sent back or held for a group that never opens.
func TestEstimateEndsInTime(t *testing.T) {
	for _, isLearned := range []bool{false, true} {
		var e Estimator
		now := time.Unix(1_000, 0)
		if isLearned {
			now = course(&e, now, time.Second, 600*time.Millisecond)
		}
		e.Observe(now, Observation{Missing: 3})
		e.Observe(now, Observation{})
		if got := e.Estimate(now); got.Basis < BasisBack {
			t.Errorf("learned: %v, basis %s as all ranks are back", isLearned, got.Basis)
		}
		if got := e.Estimate(now.Add(maxForming + tick)); got != (Estimate{}) {
			t.Errorf("learned: %v, got %+v after %s", isLearned, got, maxForming)
		}
	}
}

// TestOddFormingsAreNotLearned guards against a forming time learned from a rank that was missing unseen, or from
// an outage whose end of the absence was not seen: one such time is an estimate if it is the first.
func TestOddFormingsAreNotLearned(t *testing.T) {
	tests := []struct {
		name    string
		seen    []Observation
		forming time.Duration
	}{
		{"longer than any forming", []Observation{{Open: true}, {Missing: 3}, {}}, maxForming + tick},
		{"its beginning was not seen", []Observation{{Open: true, Missing: MissingUnknown}, {Missing: MissingUnknown}, {Missing: MissingUnknown}, {}}, time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var e Estimator
			now := time.Unix(1_000, 0)
			for _, o := range tt.seen {
				now = now.Add(tick)
				e.Observe(now, o)
			}
			if e.Phase() != PhaseForming {
				t.Fatalf("phase is %s", e.Phase())
			}
			e.Observe(now.Add(tt.forming), Observation{Open: true})
			if got, ok := e.formings.quantile(formingShare); ok {
				t.Errorf("learned %s", got)
			}
		})
	}
}
