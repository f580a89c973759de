package admit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"geraniumpass/plan"
)

// BenchmarkDecide decides while room is short, with 18 groups and 1,000 or 4,000 accounts.
func BenchmarkDecide(b *testing.B) {
	for _, accounts := range []int{10, 1000, 4000} {
		b.Run(fmt.Sprint(accounts), func(b *testing.B) {
			s := New(rand.New(rand.NewPCG(1, 1)).Float64)
			names := make([]string, accounts)
			for i := range names {
				names[i] = fmt.Sprint("account", i)
			}
			groups := make([]Group, 18)
			for i := range groups {
				groups[i] = Group{Name: fmt.Sprint("group", i), Usable: true, Ranks: 32, Running: 300, Waiting: 200,
					StepTime: 130 * time.Millisecond}
			}
			engine := testEngine()
			benchmark(b, s, engine, groups, names)
		})
	}
}

func benchmark(b *testing.B, s *Shedder, engine *plan.Engine, groups []Group, names []string) {
	start := time.Unix(1_000_000, 0)
	demands := []Demand{demand(0, ""), demand(1, ""), demand(2, "")}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		// A hundred decisions a second with a status of each group every 100 ms.
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		for k := range groups {
			groups[k].Age = time.Duration(i%10) * 10 * time.Millisecond
		}
		d := demands[i%len(demands)]
		d.Account = names[i%len(names)]
		s.Decide(now, engine, groups, d)
	}
}
