package gate

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"geraniumpass/core"
	"geraniumpass/loads"
	"geraniumpass/route"
)

// pickedGroups returns how often each group is picked in n picks that leave the loads as they were.
func pickedGroups(t *testing.T, r *request, n int) map[string]int {
	t.Helper()
	out := make(map[string]int)
	for range n {
		in, ok := r.pick()
		if !ok {
			t.Fatal("no instance is available")
		}
		r.g.loads.end(in.Start())
		r.g.loads.get(in.Start()).begun = nil
		r.permit.Cancel(r.g.clock.Now())
		out[r.g.groups.GroupOf(in.Start())]++
	}
	return out
}

// TestNextPickSeesNewStatus guards against picks by what was worked out from an earlier status: requests
// would go on to a group that has stalled or closed, or stay away from one that takes requests again.
func TestNextPickSeesNewStatus(t *testing.T) {
	const picks = 300
	r := requestAmong(2, ranksPerGroup)
	s := r.g.groups.Recent()["group-1"]
	steps := []struct {
		name    string
		open    bool
		stalled time.Duration
		want    bool
	}{
		{name: "sound", open: true, want: true},
		{name: "closed", want: false},
		{name: "open again", open: true, want: true},
		{name: "stalled", open: true, stalled: time.Second, want: false},
		{name: "going on", open: true, want: true},
	}
	for _, step := range steps {
		s.Open, s.StalledFor = step.open, step.stalled
		r.g.groups.Update(s.Group)
		got := pickedGroups(t, r, picks)
		if (got["group-1"] > 0) != step.want || got["group-0"] == 0 {
			t.Errorf("%s: picks by group %v", step.name, got)
		}
	}
}

// TestSampleSkipsUnsuitableInstances guards against a sample that takes instances which a look at all
// would leave out, at random positions among many.
func TestSampleSkipsUnsuitableInstances(t *testing.T) {
	r := requestAmong(4, ranksPerGroup)
	now := r.g.clock.Now()
	r.tried = make(map[core.Start]bool)
	list := r.g.view.Now().Usable("svc")
	unsuitable := make(map[core.Start]bool)
	for i, in := range list {
		start := in.Start()
		unsuitable[start] = i%5 > 0
		switch i % 5 {
		case 1:
			r.tried[start] = true
		case 2:
			r.g.cooldowns.record(start, now, now.Add(time.Second))
		case 3:
			r.g.loads.recordFailure(start, 2*barThreshold, now)
		case 4:
			r.g.loads.markAddressReused(start)
		}
	}
	for range 500 {
		in, ok := r.pick()
		if !ok || unsuitable[in.Start()] {
			t.Fatalf("picked %q, ok %v", in.ID, ok)
		}
	}
}

// TestSamplePicksAsLookAtAll guards against a sample that prefers other instances than a look at all does:
// each group gets the same share of the picks, also one whose load no agent has reported.
func TestSamplePicksAsLookAtAll(t *testing.T) {
	const picks, tolerance = 8000, 250
	r := requestAmong(4, ranksPerGroup)
	r.g.pickRandom = rand.New(rand.NewPCG(1, 2))
	now := r.g.clock.Now()
	s := r.g.groups.Recent()["group-3"]
	// Older loads of the same epoch would not replace those known before.
	s.Epoch++
	s.RanksAge = maxLoadAge
	r.g.groups.Update(s.Group)
	snap := r.g.view.Now()
	for _, in := range snap.Usable("svc") {
		r.g.loads.recordReport(in.Start(), 8, 0, now)
	}
	sampled, all := make(map[string]int), make(map[string]int)
	for range picks {
		in, ok := r.sample(snap, now)
		if !ok {
			t.Fatal("no instance was sampled")
		}
		sampled[r.g.groups.GroupOf(in.Start())]++
		list := r.candidates(snap, now)
		conditions := r.g.conditions(startsOf(list), r.route, now)
		i := r.choose(r.instanceViews(snap, list, conditions, now), anyUsable(conditions))
		all[r.g.groups.GroupOf(list[i].Start())]++
	}
	for name, want := range all {
		if got := sampled[name]; got < want-tolerance || got > want+tolerance {
			t.Errorf("%s: sampled %d times, want about %d of %d", name, got, want, picks)
		}
	}
}

// TestPickCostDoesNotGrowWithFleet guards against a pick that looks at each instance: at a small share of
// a core that delays every request, in proportion to the deployment.
func TestPickCostDoesNotGrowWithFleet(t *testing.T) {
	const maxAllocs = 6
	// What an instance's first request allocates is not counted.
	warm := func(r *request) {
		for _, in := range r.g.view.Now().Usable("svc") {
			r.g.loads.get(in.Start()).begun = make([]time.Time, 0, 1000)
		}
	}
	for _, groups := range benchSizes {
		t.Run(fmt.Sprint(groups*ranksPerGroup), func(t *testing.T) {
			r := requestAmong(groups, ranksPerGroup)
			warm(r)
			allocs := testing.AllocsPerRun(100, func() {
				in, ok := r.pick()
				if !ok {
					t.Fatal("no instance is available")
				}
				r.g.loads.end(in.Start())
				r.permit.Cancel(r.g.clock.Now())
			})
			if allocs > maxAllocs {
				t.Errorf("%.0f allocations, want at most %d", allocs, maxAllocs)
			}
		})
	}
}

// TestDrawnInstanceIsRefusedMeanwhile guards against a panic of an entry that receives a refusal of an
// instance while it estimates the load of that instance for another request.
func TestDrawnInstanceIsRefusedMeanwhile(t *testing.T) {
	r := requestAmong(2, ranksPerGroup)
	now := r.g.clock.Now()
	snap := r.g.view.Now()
	in := snap.Usable("svc")[0]
	d := drawn{
		instances: []core.Instance{in},
		views:     make([]route.InstanceView, 1),
		unloaded:  []int{0},
	}
	r.g.loads.begin(in.Start())
	r.g.cooldowns.record(in.Start(), now, now.Add(time.Second))
	r.estimateLoads(&d, snap, now)
	if d.views[0].Load != 1 {
		t.Errorf("the load of an instance with one request is estimated as %.1f", d.views[0].Load)
	}
}

// TestLeastLoadedIsPickedIfNoUsableGroupTakesRequests guards against a pick among few random instances by this
// entry's own loads, which other entries don't share, because a group whose instances are all blocked is usable.
func TestLeastLoadedIsPickedIfNoUsableGroupTakesRequests(t *testing.T) {
	r := requestAmong(3, ranksPerGroup)
	now := r.g.clock.Now()
	usable := r.g.groups.Recent()["group-0"].Group
	r.g.groups = loads.NewBoard(r.g.clock)
	r.g.groups.Update(usable)
	list := r.g.view.Now().Usable("svc")
	least := list[len(list)-1]
	for _, in := range list[:len(list)-1] {
		r.g.loads.begin(in.Start())
		r.g.loads.begin(in.Start())
		if r.g.groups.GroupOf(in.Start()) != "" {
			r.g.cooldowns.record(in.Start(), now, now.Add(time.Second))
		}
	}
	if in, ok := r.pick(); !ok || in.ID != least.ID {
		t.Errorf("picked %q, ok %v, want %q", in.ID, ok, least.ID)
	}
}
