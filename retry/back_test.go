package retry

import (
	"testing"
	"time"
)

// TestBack gives the soonest and the latest return by draws of nothing and of the most there is.
func TestBack(t *testing.T) {
	least := func(int) int { return 0 }
	most := func(n int) int { return n - 1 }
	ms := time.Millisecond
	tests := []struct {
		name  string
		r     Refusal
		least time.Duration
		most  time.Duration
	}{
		{"busy", Refusal{Aim: 400 * ms, Left: 8 * time.Second}, 200 * ms, 400 * ms},
		{"busy, no aim", Refusal{Left: 8 * time.Second}, leastReturn, 2 * leastReturn},
		{"dark, within what callers heed", Refusal{Aim: 400 * ms, Left: 6 * time.Second, Dark: true}, 1650 * ms, 1980 * ms},
		{"dark, bounded", Refusal{Aim: 400 * ms, Left: time.Minute, Dark: true}, 3333 * ms, darkReturnMost},
		{"dark, hardly any time left", Refusal{Aim: 400 * ms, Left: 100 * ms, Dark: true}, 166 * ms, 200 * ms},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a, b := Back(tt.r, most), Back(tt.r, least)
			if got := min(a, b); got < tt.least-ms || got > tt.least+ms {
				t.Errorf("soonest %s, want %s", got, tt.least)
			}
			if got := max(a, b); got < tt.most-ms || got > tt.most+ms {
				t.Errorf("latest %s, want %s", got, tt.most)
			}
		})
	}
}
