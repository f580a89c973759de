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

// BenchmarkConditions finds the conditions of 576 instances in 18 groups, as each pick does.
func BenchmarkConditions(b *testing.B) {
	clock, log := clockwork.NewFakeClock(), hclog.NewNullLogger()
	g := New(Options{}, clock, log, view.NewCache("front-1", clock, log), nil, meter.New(clock))
	var starts []core.Start
	for i := range 18 {
		group := loads.Group{
			Name: fmt.Sprint("group-", i),
			Open: true,
		}
		for r := range 32 {
			start := core.Start{
				ID:        fmt.Sprintf("i-%d-%d", i, r),
				StartedAt: 1,
			}
			starts = append(starts, start)
			group.Ranks = append(group.Ranks, loads.Rank{
				Start:   start,
				Running: r,
				Pace:    1,
			})
		}
		g.groups.Update(group)
	}
	route := &plan.Route{Gap: 100 * time.Millisecond}
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		if c := g.conditions(starts, route, clock.Now()); !c[len(c)-1].hasLoad {
			b.Fatal("the last instance has no load")
		}
	}
}
