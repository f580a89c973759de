package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"geraniumpass/core"
)

// TestFirstRequestUnderALimitIsSentInTime guards against refusing all callers of an instance for seconds,
// because the holders of its limit happen to start with little of their first tokens each. The load is
// callers at every entry from the moment that the limit is known. The instance accepts a request each
// 1/rate, so callers may expect that the first one is sent by then.
func TestFirstRequestUnderALimitIsSentInTime(t *testing.T) {
	const runs = 200
	tests := []struct {
		entries int
		rate    float64
	}{
		{1, 2.8},
		{9, 2.8},
		{20, 2.8},
		{400, 2.8},
		{20, 0.5},
		{20, 30},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprintf("%d entries, %v per second", tt.entries, tt.rate), func(t *testing.T) {
			within := seconds(1/tt.rate) + time.Millisecond
			for run := range runs {
				if first := firstWait(tt.entries, tt.rate, core.Start{ID: fmt.Sprint("i-", run)}); first > within {
					t.Fatalf("instance %d: no entry may send for %v, want at most %v", run, first, within)
				}
			}
		})
	}
}

// firstWait returns after how long the first of the entries may send a request to an instance, if all of
// them learn of its limit at once.
func firstWait(entries int, rate float64, start core.Start) time.Duration {
	clock := clockwork.NewFakeClock()
	fleet := Fleet{Rev: 1, Members: make(map[string]string, entries)}
	for n := range entries {
		fleet.Members[fmt.Sprint("front-", n)] = ""
	}
	first := time.Hour
	for name := range fleet.Members {
		g := New(name, clock, hclog.NewNullLogger())
		g.Observe(start, Limit{Advertised: true, Rate: rate}, clock.Now())
		first = min(first, g.Wait(start, fleet))
	}
	return first
}
