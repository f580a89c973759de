package retry

import (
	"testing"
	"time"
)

// TestBackoff gives the soonest and the latest return by draws of nothing and of the most there is.
func TestBackoff(t *testing.T) {
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
		{"busy, no aim", Refusal{Left: 8 * time.Second}, minBackoff, 2 * minBackoff},
		{"dark, within what callers heed", Refusal{Aim: 400 * ms, Left: 6 * time.Second, Unavailable: true}, 1650 * ms, 1980 * ms},
		{"dark, bounded", Refusal{Aim: 400 * ms, Left: time.Minute, Unavailable: true}, 3333 * ms, maxOutageBackoff},
		{"nothing taken for a while", Refusal{Aim: 400 * ms, Left: 8 * time.Second, Room: 3 * time.Second}, 3000 * ms, 3500 * ms},
		{"nothing taken for a while, dark as well", Refusal{Aim: 400 * ms, Left: 8 * time.Second, Room: 600 * ms, Unavailable: true}, 600 * ms, 800 * ms},
		{"room before the least", Refusal{Aim: 400 * ms, Left: 8 * time.Second, Room: 100 * ms}, 200 * ms, 400 * ms},
		{"dark, hardly any time left", Refusal{Aim: 400 * ms, Left: 100 * ms, Unavailable: true}, 166 * ms, 200 * ms},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a, b := Backoff(tt.r, most), Backoff(tt.r, least)
			if got := min(a, b); got < tt.least-ms || got > tt.least+ms {
				t.Errorf("soonest %s, want %s", got, tt.least)
			}
			if got := max(a, b); got < tt.most-ms || got > tt.most+ms {
				t.Errorf("latest %s, want %s", got, tt.most)
			}
		})
	}
}
