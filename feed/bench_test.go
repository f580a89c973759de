package feed

import (
	"testing"
	"time"
)

// BenchmarkNext decides that no agent is to be dialed, with all feeds of 18 groups of 32 ranks, as an
// entry does every selectInterval.
func BenchmarkNext(b *testing.B) {
	e := newEntry(1, "a", agentsIn(18), led)
	e.run(10 * time.Second)
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		if a, ok := e.next(e.now); ok {
			b.Fatalf("%s is to be dialed", a.address)
		}
	}
}
