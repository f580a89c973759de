package gate

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/samber/lo"

	"geraniumpass/core"
	"geraniumpass/view"
)

// TestNextPickSeesNewInstances guards against groups that are still taken for those of a service after
// its instances have joined others.
func TestNextPickSeesNewInstances(t *testing.T) {
	r := requestAmong(2, ranksPerGroup)
	if got := r.g.groupsOf("svc"); len(got) != 2 {
		t.Fatalf("groups are %v", got)
	}
	s := r.g.groups.Recent()["group-1"]
	s.Name = "formed-anew"
	r.g.groups.Update(s.Group)
	got := r.g.groupsOf("svc")
	if _, ok := got["formed-anew"]; !ok || len(got) != 2 {
		t.Errorf("groups are %v", got)
	}
	r.g.clock.(*clockwork.FakeClock).Advance(time.Minute)
	if got := r.g.groupsOf("svc"); len(got) != 0 {
		t.Errorf("groups of which nothing was heard for a minute are %v", got)
	}
}

// TestGroupsWithoutUsableInstancesDoNotCount guards against room that is seen in groups whose instances
// leave or whose failure domain is evacuated, because the groups of a service were known before.
func TestGroupsWithoutUsableInstancesDoNotCount(t *testing.T) {
	tests := []struct {
		name   string
		change func(of []core.Instance) view.Change
	}{
		{"leaving", func(of []core.Instance) view.Change {
			return view.Change{Put: lo.Map(of, func(in core.Instance, _ int) core.Instance {
				in.Leaving = true
				return in
			})}
		}},
		{"evacuated", func(of []core.Instance) view.Change {
			put := lo.Map(of, func(in core.Instance, _ int) core.Instance {
				in.Domain = "b"
				return in
			})
			return view.Change{
				Put:       put,
				Evacuated: map[string]bool{"b": true},
			}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := requestAmong(2, ranksPerGroup)
			if got := r.g.groupsOf("svc"); len(got) != 2 {
				t.Fatalf("groups are %v", got)
			}
			c := tt.change(lo.Filter(r.snap.Usable("svc"), func(in core.Instance, _ int) bool {
				return r.g.groups.GroupOf(in.Start()) == "group-1"
			}))
			c.Rev = 2
			r.g.view.Apply(c)
			got := r.g.groupsOf("svc")
			if _, ok := got["group-0"]; !ok || len(got) != 1 {
				t.Errorf("groups are %v", lo.Keys(got))
			}
		})
	}
}
