package view

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"geraniumpass/core"
)

// drawChange returns a random change of a few keys at a revision.
func drawChange(t *rapid.T, rev int64) Change {
	c := Change{
		Rev:       rev,
		Full:      rapid.IntRange(0, 20).Draw(t, "full") == 0,
		Members:   make(map[string]string),
		Paces:     make(map[string][]core.Pace),
		Evacuated: make(map[string]bool),
	}
	for range rapid.IntRange(0, 4).Draw(t, "changes") {
		n := rapid.IntRange(0, 5).Draw(t, "key")
		name := fmt.Sprint("k-", n)
		switch rapid.IntRange(0, 6).Draw(t, "kind") {
		case 0, 1:
			c.Put = append(c.Put, core.Instance{ID: name, Service: "s", Rev: rev})
		case 2:
			if !c.Full && !slices.ContainsFunc(c.Put, func(in core.Instance) bool { return in.ID == name }) {
				c.Removed = append(c.Removed, name)
			}
		case 3:
			c.Members[name] = fmt.Sprint("address-", rev)
		case 4:
			if _, ok := c.Members[name]; !c.Full && !ok {
				c.MembersRemoved = append(c.MembersRemoved, name)
			}
		case 5:
			c.Paces[name] = []core.Pace{{Start: core.Start{ID: name}, Pace: float64(rev)}}
		case 6:
			c.Evacuated[name] = c.Full || rapid.Bool().Draw(t, "evacuated")
		}
	}
	return c
}

// sameState reports whether two snapshots hold the same state.
func sameState(a, b *Snapshot) bool {
	return a.Rev == b.Rev && slices.Equal(a.Instances, b.Instances) && maps.Equal(a.Members, b.Members) && maps.Equal(a.Evacuated, b.Evacuated) &&
		maps.EqualFunc(a.Paces, b.Paces, slices.Equal)
}

// TestDeltasLeadToTheSameState guards against entries that differ because one learns of changes from
// the store and the others learn from it, or from each other, what changed.
func TestDeltasLeadToTheSameState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := clockwork.NewFakeClock()
		entries := make([]*Cache, 3)
		for i := range entries {
			entries[i] = NewCache(fmt.Sprint("front-", i), clock, hclog.NewNullLogger())
		}
		entries[0].Apply(Change{Rev: 1, Full: true})
		for rev := int64(2); rev < 40; rev++ {
			entries[0].Apply(drawChange(t, rev))
			if rapid.IntRange(0, 2).Draw(t, "asked") > 0 {
				continue
			}
			for i := range entries[1:] {
				catchUp(entries[i+1], entries[i])
			}
			// Whatever was kept for a grace period is dropped.
			for range 2 {
				clock.Advance(time.Minute)
				for _, v := range entries {
					v.ExpireLapsed()
				}
			}
			for i, v := range entries[1:] {
				if !sameState(entries[0].Now(), v.Now()) {
					t.Fatalf("entry %d at revision %d: %+v, want %+v", i+1, rev, *v.Now(), *entries[0].Now())
				}
			}
		}
	})
}

// catchUp makes one entry learn what another knows.
func catchUp(to, from *Cache) {
	if d, ok := from.Since(to.Now().Rev); ok && to.Now().Rev > 0 {
		to.AdoptDelta(d)
		return
	}
	to.Adopt(from.Now())
}

// TestDeltaBoundsLapsedInstances guards against keeping an instance for as long as this entry can't
// reach the store, although a peer that reaches it no longer lists the instance.
func TestDeltaBoundsLapsedInstances(t *testing.T) {
	clock := clockwork.NewFakeClock()
	v := NewCache("front-1", clock, hclog.NewNullLogger())
	in := core.Instance{ID: "i-1", Service: "s"}
	v.Apply(Change{Rev: 1, Full: true, Put: []core.Instance{in}})
	v.StoreDown()
	v.Apply(Change{Rev: 2, Removed: []string{in.ID}})
	v.AdoptDelta(Delta{After: 2, Change: Change{Rev: 3}})
	clock.Advance(2 * time.Second)
	v.ExpireLapsed()
	if _, ok := v.Now().Instance(in.ID); ok {
		t.Error("instance still listed 2 s after a peer reported a revision without it")
	}
}

// TestDeltaOfUnknownRevisions checks that an entry that lags too far behind gets a full snapshot.
func TestDeltaOfUnknownRevisions(t *testing.T) {
	v := NewCache("front-1", clockwork.NewFakeClock(), hclog.NewNullLogger())
	v.Apply(Change{Rev: 5, Full: true})
	for rev := int64(6); rev < 6+2*maxChanges; rev++ {
		v.Apply(Change{Rev: rev, Members: map[string]string{"front-1": "x"}})
	}
	last := v.Now().Rev
	tests := []struct {
		name  string
		after int64
		ok    bool
	}{
		{"before the full read", 4, false},
		{"a change that is forgotten", 6, false},
		{"the last but one", last - 1, true},
		{"the last", last, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if _, ok := v.Since(tt.after); ok != tt.ok {
				t.Errorf("a delta after revision %d: %v, want %v", tt.after, ok, tt.ok)
			}
		})
	}
}
