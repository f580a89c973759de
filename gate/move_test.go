package gate

import (
	"testing"
	"time"

	"geraniumpass/plan"
)

// TestServiceStallBlamesNoInstance guards against counting a stall of a whole service against an
// instance, as opposed to one that is silent while others answer.
func TestServiceStallBlamesNoInstance(t *testing.T) {
	now := time.Unix(1_000, 0)
	tests := []struct {
		name     string
		due      time.Time
		begun    bool
		answered time.Time
		want     bool
	}{
		{"nothing answers", now, false, now.Add(-time.Second), true},
		{"others answer", now, false, now.Add(-answeringWindow / 2), false},
		{"not due yet", now.Add(time.Millisecond), false, now.Add(-time.Second), false},
		{"no time of its own", time.Time{}, false, now.Add(-time.Second), false},
		{"within the stream", now, true, now.Add(-time.Second), false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := &Gate{health: newServiceHealth()}
			g.health.recordAnswer("svc", tt.answered)
			r := &request{
				g:                  g,
				service:            &plan.Service{Name: "svc"},
				firstEventDeadline: tt.due,
				stream:             streamProgress{started: tt.begun},
			}
			if got := r.isServiceStalled(now); got != tt.want {
				t.Errorf("stalled: %v", got)
			}
		})
	}
}
