package gate

import (
	"fmt"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"geraniumpass/core"
	"geraniumpass/loads"
	"geraniumpass/meter"
	"geraniumpass/plan"
	"geraniumpass/view"
)

// ranksPerGroup is the size of the groups that decisions are measured with.
const ranksPerGroup = 32

// benchSizes are the numbers of groups of 32 ranks that decisions are measured with.
var benchSizes = []int{2, 18, 36}

// runAmongGroups runs a benchmark at each of benchSizes.
func runAmongGroups(b *testing.B, run func(b *testing.B, r *request)) {
	for _, groups := range benchSizes {
		b.Run(fmt.Sprint(groups*ranksPerGroup), func(b *testing.B) {
			r := requestAmong(groups, ranksPerGroup)
			b.ReportAllocs()
			b.ResetTimer()
			run(b, r)
		})
	}
}

// requestAmongGroups returns a request for a service of 576 instances in 18 groups with recent loads.
func requestAmongGroups() *request {
	return requestAmong(18, ranksPerGroup)
}

// requestAmong returns a request for a service of groups with the given number of ranks and recent loads.
func requestAmong(groups, ranks int) *request {
	clock, log := clockwork.NewFakeClock(), hclog.NewNullLogger()
	cache := view.NewCache("front-1", clock, log)
	g := New(Options{}, clock, log, cache, nil, meter.New(clock))
	var list []core.Instance
	for i := range groups {
		group := loads.Group{
			Name: fmt.Sprint("group-", i),
			Open: true,
		}
		for r := range ranks {
			in := core.Instance{
				ID:        fmt.Sprintf("i-%d-%d", i, r),
				Service:   "svc",
				Domain:    "a",
				Address:   fmt.Sprintf("10.%d.0.%d:1", i, r),
				StartedAt: 1,
				Slots:     10,
			}
			list = append(list, in)
			group.Ranks = append(group.Ranks, loads.Rank{
				Start:   in.Start(),
				Running: r,
				Pace:    1,
			})
		}
		g.groups.Update(group)
	}
	table := &plan.Table{
		Version: 1,
		Services: []plan.Service{{
			Name: "svc",
			Engine: &plan.Engine{
				Sets:       2,
				Slots:      10,
				StepTokens: 4,
				StepMs:     10,
				SequenceMs: 1,
				Answer:     100,
			},
		}},
	}
	cache.Apply(view.Change{
		Rev:     1,
		Full:    true,
		Table:   table.Compile(),
		Put:     list,
		Members: map[string]string{"front-1": "x"},
	})
	snap := cache.Now()
	return &request{
		g:    g,
		snap: snap,
		route: &plan.Route{
			Kind: plan.KindStream,
			Gap:  100 * time.Millisecond,
		},
		service: snap.Table.Service("svc"),
	}
}

// BenchmarkConditions finds the conditions of all instances.
func BenchmarkConditions(b *testing.B) {
	runAmongGroups(b, func(b *testing.B, r *request) {
		starts := startsOf(r.snap.Usable("svc"))
		for range b.N {
			if c := r.g.conditions(starts, r.route, r.g.clock.Now()); !c[len(c)-1].hasLoad {
				b.Fatal("the last instance has no load")
			}
		}
	})
}

// BenchmarkPick picks an instance for a request and ends it, so that the loads stay the same.
func BenchmarkPick(b *testing.B) {
	runAmongGroups(b, func(b *testing.B, r *request) {
		for range b.N {
			in, ok := r.pick()
			if !ok {
				b.Fatal("no instance is available")
			}
			r.g.loads.end(in.Start())
			r.permit.Cancel(r.g.clock.Now())
		}
	})
}

// BenchmarkObserve does what an entry does at each change of the loads.
func BenchmarkObserve(b *testing.B) {
	runAmongGroups(b, func(b *testing.B, r *request) {
		for range b.N {
			r.g.observeRoom()
			r.g.Relocate()
		}
	})
}

// BenchmarkRoom decides on the room for a request.
func BenchmarkRoom(b *testing.B) {
	runAmongGroups(b, func(b *testing.B, r *request) {
		for range b.N {
			if status := r.checkRoom(); status != 0 {
				b.Fatalf("refused with %d", status)
			}
		}
	})
}
