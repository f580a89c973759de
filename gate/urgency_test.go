package gate

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"geraniumpass/admit"
	"geraniumpass/plan"
)

// TestUrgencyAtTheEngine guards against late requests of all ranks that engines can't tell apart, though
// the admission has ordered them, and against timely ones that wait behind those that became late.
func TestUrgencyAtTheEngine(t *testing.T) {
	const aim = 400 * time.Millisecond
	tests := []struct {
		name    string
		decided int
		spent   time.Duration
		want    int
	}{
		{name: "not decided", want: admit.DefaultUrgency},
		{name: "not decided and late", spent: 2 * aim, want: admit.LateUrgency},
		{name: "timely", decided: 2, want: 2},
		{name: "late since the admission", decided: 2, spent: 2 * aim, want: admit.LateUrgency},
		{name: "late at the admission, highest rank", decided: admit.LateUrgency - 1, spent: 2 * aim, want: admit.LateUrgency - 1},
		{name: "late at the admission, lowest rank", decided: admit.LateUrgency + 1, spent: 2 * aim, want: admit.LateUrgency + 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			r := &request{
				g: &Gate{
					clock: clock,
				},
				route: &plan.Route{
					Aim: aim,
				},
				receivedAt:  clock.Now(),
				spentBefore: tt.spent,
				urgency:     tt.decided,
				stream: streamProgress{
					lastEvent: -1,
				},
			}
			if got := r.currentUrgency(); got != tt.want {
				t.Errorf("got urgency %d, want %d", got, tt.want)
			}
		})
	}
}
