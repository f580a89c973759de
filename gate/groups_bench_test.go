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

// requestAmongGroups returns a request for a service of 576 instances in 18 groups with recent loads.
func requestAmongGroups() *request {
	return requestAmong(18, 32)
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
		Version:  1,
		Services: []plan.Service{{Name: "svc"}},
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
		g:       g,
		snap:    snap,
		route:   &plan.Route{Gap: 100 * time.Millisecond},
		service: snap.Table.Service("svc"),
	}
}

// BenchmarkConditions finds the conditions of all instances, as each pick does.
func BenchmarkConditions(b *testing.B) {
	r := requestAmongGroups()
	starts := startsOf(r.snap.Usable("svc"))
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		if c := r.g.conditions(starts, r.route, r.g.clock.Now()); !c[len(c)-1].hasLoad {
			b.Fatal("the last instance has no load")
		}
	}
}

// BenchmarkPick picks an instance for a request and ends it, so that the loads stay the same.
func BenchmarkPick(b *testing.B) {
	r := requestAmongGroups()
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		in, ok := r.pick()
		if !ok {
			b.Fatal("no instance is available")
		}
		r.g.loads.end(in.Start())
		r.permit.Cancel(r.g.clock.Now())
	}
}
