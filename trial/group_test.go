package trial

import (
	"testing"
	"time"
)

// TestLineBeforeAGroup plays the patterns that the line answers, ten seeds each. The figures are those of the model with half of the gain
// left as room: 0.13 to 0.26 of a surge's callers are on time with a line and none without, and two seconds after the surge 0.86 against 0.08.
func TestLineBeforeAGroup(t *testing.T) {
	const seeds = 10
	seconds := func(from, to int) Span {
		return Span{From: time.Duration(from) * time.Second, To: time.Duration(to) * time.Second}
	}
	tests := []struct {
		name    string
		pattern int
		span    Span
		// least is the part of the callers who have to be on time with the line, most that without it.
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
				r := RunGroup(Patterns()[tt.pattern], true, seed+1)
				onTime, _, _ := r.Sum(tt.span)
				with += onTime / seeds
				r = RunGroup(Patterns()[tt.pattern], false, seed+1)
				onTime, _, _ = r.Sum(tt.span)
				without += onTime / seeds
			}
			if with < tt.least {
				t.Errorf("%.3f are on time with a line, want %.3f", with, tt.least)
			}
			if without > tt.most {
				t.Errorf("%.3f are on time without a line, more than %.3f: the pattern shows nothing", without, tt.most)
			}
		})
	}
}

// TestEveryCallerIsCountedOnce fails when the model loses callers or answers one twice.
func TestEveryCallerIsCountedOnce(t *testing.T) {
	for _, s := range Patterns() {
		for _, line := range []bool{false, true} {
			r := RunGroup(s, line, 1)
			for w := range r.Asked {
				if n := r.OnTime[w] + r.Late[w] + r.Refused[w] + r.Failed[w]; n != r.Asked[w] {
					t.Errorf("%s, line %v: %d asked in window %d, %d counted", s.Name, line, r.Asked[w], w, n)
				}
			}
		}
	}
}
