package gate

import (
	"testing"
	"time"

	"geraniumpass/loads"
	"geraniumpass/plan"
)

// TestGroupsWithLongStepsAreLeftToTheirStreams guards against new streams in a group whose steps last four
// times the permitted pause, because a slow rank holds experts until the maps have changed, while another
// group has room for all of them. The load is 300 requests a second before two groups of 32 ranks.
func TestGroupsWithLongStepsAreLeftToTheirStreams(t *testing.T) {
	long := func(g *loads.Group) { g.StepTime = 400 * time.Millisecond }
	full := func(g *loads.Group) {
		for i := range g.Ranks {
			g.Ranks[i].Running = 10
		}
	}
	idle := func(g *loads.Group) {
		for i := range g.Ranks {
			g.Ranks[i].Running = 2
		}
	}
	tests := []struct {
		name  string
		other func(g *loads.Group)
		want  bool
	}{
		{"the other has room", idle, false},
		{"the other is full", full, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := requestAmong(2, 32)
			r.route.Kind = plan.KindStream
			r.service.Engine = &plan.Engine{Sets: 3, Slots: 10}
			got := picksByGroup(t, r, time.Second, map[string]func(g *loads.Group){
				"group-0": long,
				"group-1": tt.other,
			})
			if (got["group-0"] > 0) != tt.want {
				t.Errorf("%d requests to the group with long steps", got["group-0"])
			}
		})
	}
}
