package gate

import (
	"testing"
	"time"

	"geraniumpass/core"
)

// TestRestOfSeveralAnswers guards against a rest that ends early since another answer asked for less, or that outlives its start or its time.
func TestRestOfSeveralAnswers(t *testing.T) {
	// The rest is asked for 1,000 s after the epoch, from which starts count in milliseconds.
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
			began := time.Unix(1_000, 0)
			r := newRests()
			for _, until := range tt.until {
				r.ask(start, began, began.Add(until))
			}
			now := began.Add(tt.at)
			if got := r.left(tt.start, now); got != tt.want {
				t.Errorf("%v left, want %v", got, tt.want)
			}
			r.forget(now)
			if got := r.left(tt.start, now); got != tt.want {
				t.Errorf("%v left after what is over was forgotten, want %v", got, tt.want)
			}
		})
	}
}
