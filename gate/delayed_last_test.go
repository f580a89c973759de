package gate

import (
	"testing"
	"time"

	"geraniumpass/core"
	"geraniumpass/loads"
	"geraniumpass/plan"
)

// TestGroupsWithLongStepsGoBeforeUnusableOnes guards against requests in a closed group because the only
// group with room takes nothing from this entry at present: late streams are better than none. The load is
// 300 requests a second before three groups of 32 ranks.
func TestGroupsWithLongStepsGoBeforeUnusableOnes(t *testing.T) {
	tests := []struct {
		name  string
		block func(r *request, in core.Instance)
	}{
		{"limited", func(r *request, in core.Instance) {
			r.g.cooldowns.record(in.Start(), r.g.clock.Now(), r.g.clock.Now().Add(time.Minute))
		}},
		{"failing", func(r *request, in core.Instance) {
			r.g.loads.recordLoss(in.Start(), r.g.clock.Now())
			r.g.loads.recordLoss(in.Start(), r.g.clock.Now())
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := requestAmong(3, ranksPerGroup)
			for _, in := range r.snap.Usable("svc") {
				if r.g.groups.GroupOf(in.Start()) == "group-1" {
					tt.block(r, in)
				}
			}
			got := picksByGroup(t, r, time.Second, map[string]func(g *loads.Group){
				"group-0": func(g *loads.Group) { g.StepTime = 400 * time.Millisecond },
				"group-1": func(g *loads.Group) {
					for i := range g.Ranks {
						g.Ranks[i].Running = 2
					}
				},
				"group-2": closeIdle,
			})
			if got["group-1"] > 0 || got["group-2"] > 0 {
				t.Errorf("requests by group: %v", got)
			}
		})
	}
}

// TestPickDecidesOnceOnDelayedGroups guards against a pick that draws again whether to avoid delayed groups
// because few random instances are in others: fewer requests would avoid them than there is room for, and
// the count of those that do would exceed the picks. Load: 17 of 18 groups are late.
func TestPickDecidesOnceOnDelayedGroups(t *testing.T) {
	r := requestAmongGroups()
	change := make(map[string]func(g *loads.Group))
	for name := range r.g.groups.Recent() {
		change[name] = func(g *loads.Group) { g.StepTime = 400 * time.Millisecond }
	}
	change["group-1"] = func(g *loads.Group) {
		for i := range g.Ranks {
			g.Ranks[i].Running = 0
		}
	}
	before := delayedPicks.Value()
	got := picksByGroup(t, r, time.Second, change)
	// A third fits, of 300.
	if n := delayedPicks.Value() - before; n < 80 || n > 125 || n > int64(got["group-1"]) {
		t.Errorf("%d picks avoid delayed groups, %d are of the other one", n, got["group-1"])
	}
}

// TestAnswersThatAreNoStreamsAvoidNoGroups guards against leaving groups with long steps unused by requests
// that no step delays noticeably.
func TestAnswersThatAreNoStreamsAvoidNoGroups(t *testing.T) {
	r := requestAmong(2, ranksPerGroup)
	r.route.Kind = plan.KindIdempotent
	got := picksByGroup(t, r, time.Second, map[string]func(g *loads.Group){
		"group-0": func(g *loads.Group) { g.StepTime = 400 * time.Millisecond },
		"group-1": func(g *loads.Group) {
			for i := range g.Ranks {
				g.Ranks[i].Running = 2
			}
		},
	})
	if got["group-0"] == 0 {
		t.Errorf("requests by group: %v", got)
	}
}
