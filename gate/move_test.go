package gate

import (
	"testing"
	"time"

	"geraniumpass/plan"
)

// TestStallSpeaksAgainstNoInstance tells a stall of a whole service from an instance that is silent while others answer.
func TestStallSpeaksAgainstNoInstance(t *testing.T) {
	now := time.Unix(1_000, 0)
	tests := []struct {
		name     string
		due      time.Time
		begun    bool
		answered time.Time
		want     bool
	}{
		{"nothing answers", now, false, now.Add(-time.Second), true},
		{"others answer", now, false, now.Add(-answeringFor / 2), false},
		{"not due yet", now.Add(time.Millisecond), false, now.Add(-time.Second), false},
		{"no time of its own", time.Time{}, false, now.Add(-time.Second), false},
		{"within the stream", now, true, now.Add(-time.Second), false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := &Gate{pulse: newPulse()}
			g.pulse.answered("svc", tt.answered)
			r := &request{
				g:             g,
				service:       &plan.Service{Name: "svc"},
				firstEventDue: tt.due,
				stream:        delivered{begun: tt.begun},
			}
			if got := r.stalled(now); got != tt.want {
				t.Errorf("stalled: %v", got)
			}
		})
	}
}
