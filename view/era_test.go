package view

import (
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"geraniumpass/core"
	"geraniumpass/store"
)

// newRestoredCache returns a cache with two instances at revision 55 of era 1.
func newRestoredCache(clock clockwork.Clock) *Cache {
	v := NewCache("front-1", clock, hclog.NewNullLogger())
	v.Apply(Change{
		Rev:     store.Revision(1, 55),
		Full:    true,
		Put:     instancesOf(1, "i-1", "i-2"),
		Members: map[string]string{"front-1": "x", "front-2": "y"},
	})
	return v
}

// instancesOf returns instances whose entries were read in an era.
func instancesOf(era int64, ids ...string) []core.Instance {
	var out []core.Instance
	for i, id := range ids {
		out = append(out, core.Instance{ID: id, Service: "s", Domain: id, Address: id, Rev: store.Revision(era, int64(i+10))})
	}
	return out
}

// usableIDs returns the instances that are in use.
func usableIDs(v *Cache) string {
	out := ""
	for _, in := range v.Now().Usable("s") {
		out += in.ID + " "
	}
	return out
}

// TestStatesOfEarlierErasAreNotAdopted guards against an entry that still has the state from before the
// store was restored, and makes others fall back to it because its revision has a higher number.
func TestStatesOfEarlierErasAreNotAdopted(t *testing.T) {
	old := store.Revision(1, 900)
	tests := []struct {
		name string
		give func(v *Cache) bool
	}{
		{"full state of a peer", func(v *Cache) bool { return v.Adopt(&Snapshot{Rev: old}) }},
		{"changes of a peer", func(v *Cache) bool {
			return v.AdoptDelta(Delta{After: store.Revision(1, 50), Change: Change{Rev: old, Removed: []string{"i-1"}}})
		}},
		{"late answer of the store", func(v *Cache) bool { return v.Apply(Change{Rev: old, Full: true}) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			v := newRestoredCache(clockwork.NewFakeClock())
			v.Apply(Change{Rev: store.Revision(2, 40), Full: true, Put: instancesOf(2, "i-1")})
			if tt.give(v) {
				t.Error("a state of era 1 counts as new in era 2")
			}
			if got := usableIDs(v); got != "i-1 i-2 " || v.Now().Rev != store.Revision(2, 40) {
				t.Errorf("in use %sat %d", got, v.Now().Rev)
			}
		})
	}
}

// TestChangesOfAnotherEraAreNotSent guards against changes that are applied to a state which they
// don't continue: the same numbers stand for other writes after the store was restored.
func TestChangesOfAnotherEraAreNotSent(t *testing.T) {
	v := newRestoredCache(clockwork.NewFakeClock())
	v.Apply(Change{Rev: store.Revision(2, 40), Full: true})
	v.Apply(Change{Rev: store.Revision(2, 60), Removed: []string{"i-1"}})
	if _, ok := v.Since(store.Revision(1, 55)); ok {
		t.Error("changes since revision 55 of era 1 are known in era 2")
	}
	if d, ok := v.Since(store.Revision(2, 40)); !ok || len(d.Change.Removed) != 1 {
		t.Errorf("changes since revision 40 of era 2: %+v, %v", d.Change, ok)
	}
}

// TestMembersOutliveARestoredStore guards against entries that lose their peers, and with them their
// shares of limits, until all have registered again.
func TestMembersOutliveARestoredStore(t *testing.T) {
	tests := []struct {
		name string
		give func(v *Cache)
	}{
		{"read from the store", func(v *Cache) {
			v.Apply(Change{Rev: store.Revision(2, 40), Full: true, Members: map[string]string{"front-1": "x"}})
		}},
		{"told by a peer", func(v *Cache) {
			v.Adopt(&Snapshot{Rev: store.Revision(2, 40), Members: map[string]string{"front-1": "x"}})
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			v := newRestoredCache(clockwork.NewFakeClock())
			tt.give(v)
			if members := v.Now().Members; len(members) != 2 {
				t.Errorf("members %v, want both", members)
			}
		})
	}
}

// TestInstancesMissingFromTheCopyHaveTimeToRegister guards against dropping live instances that have
// registered since the copy was made, and against keeping those that are gone.
func TestInstancesMissingFromTheCopyHaveTimeToRegister(t *testing.T) {
	tests := []struct {
		name string
		give func(v *Cache)
	}{
		{"read from the store", func(v *Cache) {
			v.Apply(Change{Rev: store.Revision(2, 40), Full: true, Put: instancesOf(2, "i-1")})
		}},
		{"told by a peer", func(v *Cache) { v.Adopt(&Snapshot{Rev: store.Revision(2, 40), Instances: instancesOf(2, "i-1")}) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			v := newRestoredCache(clock)
			tt.give(v)
			if got := usableIDs(v); got != "i-1 i-2 " {
				t.Errorf("in use at first: %s", got)
			}
			clock.Advance(v.bound)
			v.ExpireLapsed()
			if got := usableIDs(v); got != "i-1 " {
				t.Errorf("in use after the bound: %s", got)
			}
		})
	}
}
