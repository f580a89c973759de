package trial

import (
	"testing"
	"time"
)

// TestAdmissionBeforeGroup guards the benefit of admission control in surges, outages and stalls.
// The shares are averages over ten seeds, and the bounds leave half of the simulated gain as a
// margin: with admission control 0.13 to 0.26 of the callers in a surge are on time, none without;
// two seconds after the surge it is 0.86 against 0.08.
func TestAdmissionBeforeGroup(t *testing.T) {
	const seeds = 10
	seconds := func(from, to int) Span {
		return Span{From: time.Duration(from) * time.Second, To: time.Duration(to) * time.Second}
	}
	tests := []struct {
		name    string
		pattern int
		span    Span
		// least is the minimum share of callers on time with admission control, most the maximum
		// without it.
		least float64
		most  float64
	}{
		{"calm", 0, seconds(0, 8), 0.85, 1},
		{"within a surge", 0, seconds(12, 22), 0.1, 0.02},
		{"right after a surge", 0, seconds(24, 28), 0.6, 0.2},
		{"calm again after two outages", 1, seconds(28, 34), 0.6, 0.3},
		{"after a group stood", 2, seconds(16, 34), 0.8, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			with, without := 0.0, 0.0
			for seed := range uint64(seeds) {
				r := RunGroup(GroupScenarios()[tt.pattern], true, seed+1)
				onTime, _, _ := r.Shares(tt.span)
				with += onTime / seeds
				r = RunGroup(GroupScenarios()[tt.pattern], false, seed+1)
				onTime, _, _ = r.Shares(tt.span)
				without += onTime / seeds
			}
			if with < tt.least {
				t.Errorf("with admission control, %.3f of the callers are on time, want at least %.3f", with, tt.least)
			}
			if without > tt.most {
				t.Errorf("without admission control, %.3f of the callers are on time, want at most %.3f: the scenario shows no benefit", without, tt.most)
			}
		})
	}
}

// TestEveryCallerIsCountedOnce guards against a simulation that loses callers or counts one twice.
func TestEveryCallerIsCountedOnce(t *testing.T) {
	for _, s := range GroupScenarios() {
		for _, admission := range []bool{false, true} {
			r := RunGroup(s, admission, 1)
			for w := range r.Arrived {
				if n := r.OnTime[w] + r.Late[w] + r.Refused[w] + r.Failed[w]; n != r.Arrived[w] {
					t.Errorf("%s, admission control %v: %d callers arrived in window %d, %d counted", s.Name, admission, r.Arrived[w], w, n)
				}
			}
		}
	}
}
