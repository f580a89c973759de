package loads

import (
	"testing"

	"github.com/jonboulle/clockwork"

	"geraniumpass/core"
)

// TestInstanceFollowsNewestStatus guards against a status without new incarnations that leaves an instance
// with the group that named it in between: its requests would be decided by another group's condition.
func TestInstanceFollowsNewestStatus(t *testing.T) {
	b := NewBoard(clockwork.NewFakeClock())
	starts := []core.Start{startNamed("a")}
	for _, name := range []string{"g", "g", "h", "g", "g"} {
		before := b.PlacesVersion()
		was := b.GroupOf(starts[0])
		b.Update(statusOf(name, "a", 1))
		s, rank, ok := b.Find(starts[0])
		if !ok || s.Name != name || rank != 0 {
			t.Errorf("after a status of %s: rank %d of %q", name, rank, s.Name)
		}
		if got := b.GroupsOf(starts); len(got) != 1 || got[0] != name {
			t.Errorf("after a status of %s: groups %v", name, got)
		}
		if changed := b.PlacesVersion() != before; changed != (was != name) {
			t.Errorf("after a status of %s: places count as changed: %v", name, changed)
		}
	}
}

// TestForgottenInstanceIsKnownAgain guards against an instance that stays without a group because it was not
// listed for a moment while the statuses of its group went on naming it.
func TestForgottenInstanceIsKnownAgain(t *testing.T) {
	b := NewBoard(clockwork.NewFakeClock())
	start := startNamed("a")
	b.Update(statusOf("g", "a", 1))
	before := b.PlacesVersion()
	b.Sweep(func(core.Start) bool { return false })
	if b.GroupOf(start) != "" || b.PlacesVersion() == before {
		t.Errorf("group %q of a forgotten instance, places version %d", b.GroupOf(start), b.PlacesVersion())
	}
	b.Update(statusOf("g", "a", 1))
	if got := b.GroupOf(start); got != "g" {
		t.Errorf("group %q after the next status", got)
	}
}

// TestFindKnowsOnlyPresentInstances guards against picks by the load of the instance that has taken another
// one's place, or by a status that is no longer recent.
func TestFindKnowsOnlyPresentInstances(t *testing.T) {
	clock := clockwork.NewFakeClock()
	b := NewBoard(clock)
	gone, present := startNamed("a"), startNamed("b")
	b.Update(statusOf("g", "a", 1))
	g := statusOf("g", "b", 1)
	g.Open = true
	b.Update(g)
	if _, rank, ok := b.Find(gone); !ok || rank >= 0 {
		t.Errorf("rank %d of an instance that another one has replaced, ok %v", rank, ok)
	}
	if _, rank, ok := b.Find(present); !ok || rank != 0 || !b.HasUsable(testGap) {
		t.Errorf("rank %d, ok %v, usable %v", rank, ok, b.HasUsable(testGap))
	}
	clock.Advance(maxAge)
	if _, _, ok := b.Find(present); ok || b.HasUsable(testGap) {
		t.Errorf("status of a second ago: ok %v, usable %v", ok, b.HasUsable(testGap))
	}
}
