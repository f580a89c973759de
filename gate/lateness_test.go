package gate

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"geraniumpass/plan"
)

// TestIsLate guards against mistaking first tries for retries and vice versa. The caller's time
// budget distinguishes them.
func TestIsLate(t *testing.T) {
	clock := clockwork.NewFakeClockAt(time.Unix(1_000, 0))
	g := &Gate{
		clock:   clock,
		budgets: newCallerBudgets(),
	}
	aim := 400 * time.Millisecond
	route := &plan.Route{Name: "flow", Aim: aim, Timeout: 8 * time.Second}
	tests := []struct {
		name   string
		after  time.Duration
		budget time.Duration
		last   int64
		waited time.Duration
		want   bool
	}{
		{"the first caller ever", 0, 6 * time.Second, -1, 0, false},
		{"one that brings more", 0, 8 * time.Second, -1, 0, false},
		{"one that names no time", 0, 0, -1, 0, false},
		{"one that brings more than its route allows", 0, time.Minute, -1, 0, false},
		{"one that brings what the route allows, after it", 0, 8 * time.Second, -1, 0, false},
		{"one that was refused just before", 0, 7900 * time.Millisecond, -1, 0, false},
		{"one that was refused long ago", 0, 5400 * time.Millisecond, -1, 0, true},
		{"one whose stream was cut", 0, 8 * time.Second, 4, 0, true},
		{"one that waited here", 0, 8 * time.Second, -1, aim + time.Millisecond, true},
		{"after callers have come to bring less", 2 * budgetRetention, 5 * time.Second, -1, 0, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			clock.Advance(tt.after)
			r := &request{
				g:           g,
				route:       route,
				receivedAt:  clock.Now().Add(-tt.waited),
				spentBefore: g.budgets.spent(route, tt.budget, clock.Now()),
				stream:      streamProgress{lastEvent: tt.last},
			}
			if got := r.isLate(); got != tt.want {
				t.Errorf("late: %v, want %v", got, tt.want)
			}
		})
	}
}
