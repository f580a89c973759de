package loads

import (
	"testing"
	"time"

	"github.com/samber/lo"
)

func byName(groups []Status) map[string]Status {
	return lo.KeyBy(groups, func(s Status) string { return s.Name })
}

func steps(d time.Duration) func(g *Group) {
	return func(g *Group) { g.StepTime = d }
}

// TestRequestsAvoidGroupsWithLongSteps guards against requests that go on to a group whose steps last
// several times the accepted pause, because its instances have as few requests as those of a group that
// would serve them in time. Load: two groups of 32 ranks with ten slots each, one of them delayed by a rank
// that is twelve times slower and still holds experts, until maps have changed two seconds later. Callers
// accept 120 ms between events: every stream that begins there is late. A group takes over requests only
// while its steps and slots leave it room, so that it does not become late itself.
func TestRequestsAvoidGroupsWithLongSteps(t *testing.T) {
	long := steps(400 * time.Millisecond)
	tests := []struct {
		name   string
		groups []Status
		want   []bool
	}{
		{"one is delayed", []Status{newStatus("a", 4, long), newStatus("b", 5, nil)}, []bool{true, false}},
		{"first long step", []Status{newStatus("a", 4, stalledFor(180*time.Millisecond)), newStatus("b", 5, nil)}, []bool{true, false}},
		{"one is stalled", []Status{newStatus("a", 4, stalledFor(time.Second)), newStatus("b", 5, nil)}, []bool{false, false}},
		{"both are delayed", []Status{newStatus("a", 4, long), newStatus("b", 5, long)}, []bool{false, false}},
		{"the other is full", []Status{newStatus("a", 4, long), newStatus("b", 9, nil)}, []bool{false, false}},
		{"the other is nearly late", []Status{newStatus("a", 4, long), newStatus("b", 5, steps(110*time.Millisecond))}, []bool{false, false}},
		{"the other is closed", []Status{newStatus("a", 4, long), newStatus("b", 0, closed)}, []bool{false, false}},
		{"the other is stalled", []Status{newStatus("a", 4, long), newStatus("b", 5, stalledFor(time.Second))}, []bool{false, false}},
		{"the other tells no ranks", []Status{newStatus("a", 4, long), newStatus("b", 5, func(g *Group) { g.Ranks = nil })}, []bool{false, false}},
		{"the other's loads are old", []Status{newStatus("a", 4, long), newStatus("b", 5, func(g *Group) { g.RanksAge = time.Second })}, []bool{false, false}},
		{"none is delayed", []Status{newStatus("a", 4, steps(118*time.Millisecond)), newStatus("b", 5, nil)}, []bool{false, false}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := Delayed(byName(tt.groups), testGap, testSlots, 0.99)
			for i := range tt.want {
				if name := tt.groups[i].Name; got[name] != tt.want[i] {
					t.Errorf("group %s avoided: %v, want %v", name, got[name], tt.want[i])
				}
			}
		})
	}
}

// TestGroupsWithoutAPermittedPauseAreNotAvoided guards against avoiding groups for requests whose route
// limits no pause, or whose service has no engines.
func TestGroupsWithoutAPermittedPauseAreNotAvoided(t *testing.T) {
	groups := byName([]Status{newStatus("a", 4, steps(400*time.Millisecond)), newStatus("b", 5, nil)})
	if got := Delayed(groups, 0, testSlots, 0); len(got) > 0 {
		t.Errorf("avoided without a permitted pause: %v", got)
	}
	if got := Delayed(groups, testGap, 0, 0); len(got) > 0 {
		t.Errorf("avoided without engines: %v", got)
	}
}
