package admit

import (
	"testing"
	"time"
)

// Load: a rank whose requests mostly allow long pauses, and for a moment short ones, as when a route is
// hardly used or its pause was raised. Callers that allow long pauses need the room that goes with them
// again soon after; the short pause counts for accountHalfLife, some streams, as any recent use does.
func TestShortPauseCountsOnlyWhileItIsAsked(t *testing.T) {
	const long = 3 * testGap
	start := time.Unix(1_000_000, 0)
	tests := []struct {
		name  string
		after time.Duration
		want  time.Duration
	}{
		{name: "shortly after", after: accountHalfLife / 2, want: testGap},
		{name: "long after", after: 2 * accountHalfLife, want: long},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var turns turns
			turns.add(start, 1, turnTimely, testGap)
			now := start
			for now.Sub(start) < tt.after {
				now = now.Add(100 * time.Millisecond)
				turns.add(now, 1, turnTimely, long)
			}
			if got := turns.gap(now, 2, 2*long); got != tt.want {
				t.Errorf("requests of a lower rank are bound by a pause of %v, want %v", got, tt.want)
			}
		})
	}
}
