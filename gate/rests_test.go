package gate

import (
	"testing"
	"time"

	"geraniumpass/core"
)

// TestCooldownFromSeveralAnswers guards against a cooldown that ends early because another answer
// requested a shorter one, or that outlasts its incarnation or its time.
func TestCooldownFromSeveralAnswers(t *testing.T) {
	// The cooldown is requested 1,000 s after the Unix epoch; StartedAt is in
	// milliseconds.
	start := core.Start{ID: "i-1", StartedAt: 900_000}
	tests := []struct {
		name  string
		until []time.Duration
		start core.Start
		at    time.Duration
		want  time.Duration
	}{
		{name: "none", start: start},
		{name: "one", until: []time.Duration{3 * time.Second}, start: start, at: time.Second, want: 2 * time.Second},
		{name: "a shorter one after it", until: []time.Duration{3 * time.Second, 2 * time.Second}, start: start, at: time.Second, want: 2 * time.Second},
		{name: "a longer one after it", until: []time.Duration{2 * time.Second, 3 * time.Second}, start: start, at: time.Second, want: 2 * time.Second},
		{name: "over", until: []time.Duration{3 * time.Second}, start: start, at: 3 * time.Second},
		{name: "a later start", until: []time.Duration{3 * time.Second}, start: core.Start{ID: "i-1", StartedAt: 1_003_000}, at: time.Second},
		{name: "an earlier start", until: []time.Duration{3 * time.Second}, start: core.Start{ID: "i-1", StartedAt: 800_000}, at: time.Second},
		{
			name:  "a start that had begun, and was not heard of yet",
			until: []time.Duration{3 * time.Second},
			start: core.Start{ID: "i-1", StartedAt: 999_000},
			at:    time.Second,
			want:  2 * time.Second,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			requestedAt := time.Unix(1_000, 0)
			r := newCooldowns()
			for _, until := range tt.until {
				r.record(start, requestedAt, requestedAt.Add(until))
			}
			now := requestedAt.Add(tt.at)
			if got := r.remaining(tt.start, now); got != tt.want {
				t.Errorf("%v remaining, want %v", got, tt.want)
			}
			r.evictExpired(now)
			if got := r.remaining(tt.start, now); got != tt.want {
				t.Errorf("%v remaining after eviction, want %v", got, tt.want)
			}
		})
	}
}
