package loads

import (
	"fmt"
	"testing"

	"github.com/jonboulle/clockwork"

	"geraniumpass/core"
)

// BenchmarkMembership looks up 576 incarnations in 18 groups.
func BenchmarkMembership(b *testing.B) {
	board := NewBoard(clockwork.NewFakeClock())
	var starts []core.Start
	for i := range 18 {
		g := Group{Name: fmt.Sprint("group-", i)}
		for r := range 32 {
			start := core.Start{
				ID:        fmt.Sprintf("i-%d-%d", i, r),
				StartedAt: 1,
			}
			starts = append(starts, start)
			g.Ranks = append(g.Ranks, Rank{Start: start})
		}
		board.Update(g)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		if m := board.Membership(starts); len(m.Groups) != 18 {
			b.Fatalf("%d groups", len(m.Groups))
		}
	}
}
