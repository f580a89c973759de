package gate

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
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
