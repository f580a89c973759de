package gate

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/samber/lo"

	"geraniumpass/loads"
)

// reportGroups posts a status of each group, changed where its name is in change.
func reportGroups(r *request, change map[string]func(g *loads.Group)) {
	for name, s := range r.g.groups.Recent() {
		if fn, ok := change[name]; ok {
			s.Ranks = append([]loads.Rank(nil), s.Ranks...)
			fn(&s.Group)
		}
		r.g.groups.Update(s.Group)
	}
}

func stallGroup(g *loads.Group) { g.StalledFor = 500 * time.Millisecond }

func stallIdle(g *loads.Group) {
	stallGroup(g)
	for i := range g.Ranks {
		g.Ranks[i].Running = 0
	}
}

func closeIdle(g *loads.Group) {
	stallIdle(g)
	g.Open = false
}

// picksByGroup picks for 300 requests a second for d and returns the number of picks of each group.
func picksByGroup(t *testing.T, r *request, d time.Duration, change map[string]func(g *loads.Group)) map[string]int {
	t.Helper()
	const (
		statusInterval   = 100 * time.Millisecond
		picksPerInterval = 30
	)
	clock, ok := r.g.clock.(*clockwork.FakeClock)
	if !ok {
		t.Fatal("the clock is not a fake one")
	}
	r.g.pickRandom = rand.New(rand.NewPCG(1, 2))
	out := make(map[string]int)
	for range int(d / statusInterval) {
		reportGroups(r, change)
		for range picksPerInterval {
			in, ok := r.pick()
			if !ok {
				t.Fatal("no instance was picked")
			}
			r.g.loads.end(in.Start())
			out[r.g.groups.GroupOf(in.Start())]++
		}
		clock.Advance(statusInterval)
	}
	return out
}

// TestUnusableGroupsAreAvoided guards against new streams in a group that makes no steps, and against a
// group that had no requests when it stalled and gets none any more, so that it never shows that it goes
// on. The load is 300 requests a second before six groups of eight ranks.
func TestUnusableGroupsAreAvoided(t *testing.T) {
	const (
		lasts = 5 * time.Second
		// mostProbes is one request in twenty, all of which would be late if the group still stands.
		mostProbes = 75
	)
	got := picksByGroup(t, requestAmong(6, 8), lasts, map[string]func(g *loads.Group){
		"group-0": stallGroup,
		"group-1": stallIdle,
		"group-2": closeIdle,
	})
	if n := got["group-0"]; n > 0 {
		t.Errorf("%d requests to a stalled group with requests", n)
	}
	if n := got["group-1"]; n == 0 || n > mostProbes {
		t.Errorf("%d requests to a stalled group without requests, want 1 to %d", n, mostProbes)
	}
	if n := got["group-2"]; n > 0 {
		t.Errorf("%d requests to a closed group", n)
	}
}

// TestStalledGroupsArePickedIfAllStall guards against refusing everything because no group makes steps;
// they may go on any moment.
func TestStalledGroupsArePickedIfAllStall(t *testing.T) {
	r := requestAmong(2, 8)
	change := make(map[string]func(g *loads.Group))
	for name := range r.g.groups.Recent() {
		change[name] = stallGroup
	}
	if got := picksByGroup(t, r, 100*time.Millisecond, change); lo.Sum(lo.Values(got)) == 0 {
		t.Error("nothing was picked")
	}
}

// TestEntriesWithTheSameLoadsSpread guards against entries that all send to the least loaded instance
// until the next status, since they see the same loads: 99 entries with a request each.
func TestEntriesWithTheSameLoadsSpread(t *testing.T) {
	const (
		entries = 99
		slots   = 10
	)
	r := requestAmongGroups()
	change := make(map[string]func(g *loads.Group))
	for name := range r.g.groups.Recent() {
		change[name] = func(g *loads.Group) {
			for i := range g.Ranks {
				g.Ranks[i].Running = 5
			}
			if g.Name == "group-0" {
				g.Ranks[0].Running = 2
			}
		}
	}
	reportGroups(r, change)
	got := 0
	for i := range entries {
		r.g.loads = newLoadTracker()
		r.g.pickRandom = rand.New(rand.NewPCG(1, uint64(i)))
		in, ok := r.pick()
		if !ok {
			t.Fatal("no instance was picked")
		}
		if in.ID == "i-0-0" {
			got++
		}
	}
	if got > slots {
		t.Errorf("%d of %d entries picked the least loaded instance, which has %d slots", got, entries, slots)
	}
}
