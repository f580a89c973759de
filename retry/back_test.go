package retry

import (
	"testing"
	"time"
)

// TestBackoff checks the shortest and the longest backoff, with the smallest and the largest random
// draw.
func TestBackoff(t *testing.T) {
	least := func(int) int { return 0 }
	most := func(n int) int { return n - 1 }
	ms := time.Millisecond
	tests := []struct {
		name  string
		r     Rejection
		least time.Duration
		most  time.Duration
	}{
		{"busy", Rejection{TargetLatency: 400 * ms, Remaining: 8 * time.Second}, 200 * ms, 400 * ms},
		{"busy, no aim", Rejection{Remaining: 8 * time.Second}, minBackoff, 2 * minBackoff},
		{"dark, within what callers heed", Rejection{TargetLatency: 400 * ms, Remaining: 6 * time.Second, Unavailable: true}, 1650 * ms, 1980 * ms},
		{"dark, bounded", Rejection{TargetLatency: 400 * ms, Remaining: time.Minute, Unavailable: true}, 3333 * ms, maxOutageBackoff},
		{"nothing taken for a while", Rejection{TargetLatency: 400 * ms, Remaining: 8 * time.Second, AvailableIn: 3 * time.Second}, 3000 * ms, 3500 * ms},
		{"nothing taken for a while, dark as well", Rejection{TargetLatency: 400 * ms, Remaining: 8 * time.Second, AvailableIn: 600 * ms, Unavailable: true}, 600 * ms, 800 * ms},
		{"room before the least", Rejection{TargetLatency: 400 * ms, Remaining: 8 * time.Second, AvailableIn: 100 * ms}, 200 * ms, 400 * ms},
		{"dark, hardly any time left", Rejection{TargetLatency: 400 * ms, Remaining: 100 * ms, Unavailable: true}, 166 * ms, 200 * ms},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a, b := Backoff(tt.r, most), Backoff(tt.r, least)
			if got := min(a, b); got < tt.least-ms || got > tt.least+ms {
				t.Errorf("shortest backoff %s, want %s", got, tt.least)
			}
			if got := max(a, b); got < tt.most-ms || got > tt.most+ms {
				t.Errorf("longest backoff %s, want %s", got, tt.most)
			}
		})
	}
}
