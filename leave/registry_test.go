package leave

import (
	"fmt"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"geraniumpass/core"
)

// TestLeavingIsPerIncarnation guards against an instance that gets no requests because an earlier
// incarnation with its ID left, and against one that is evicted too early.
func TestLeavingIsPerIncarnation(t *testing.T) {
	clock := clockwork.NewFakeClock()
	g := New(clock, hclog.NewNullLogger())
	left, next := core.Start{ID: "i-1", StartedAt: 1}, core.Start{ID: "i-1", StartedAt: 2}
	g.Record(left, "a-1")
	clock.Advance(retention)
	g.Sweep()
	if !g.IsLeaving(left) || g.IsLeaving(next) {
		t.Errorf("incarnation that announced it is leaving: %v, the next one: %v", g.IsLeaving(left), g.IsLeaving(next))
	}
	clock.Advance(1)
	g.Sweep()
	if g.IsLeaving(left) {
		t.Error("record not evicted after the retention")
	}
}

// TestLeavingExchangeConverges guards against entries that exchange the same record forever.
func TestLeavingExchangeConverges(t *testing.T) {
	clock := clockwork.NewFakeClock()
	a, b := New(clock, hclog.NewNullLogger()), New(clock, hclog.NewNullLogger())
	a.Record(core.Start{ID: "i-1"}, "a-1")
	for range 10 {
		known, _ := a.Since(0)
		b.Merge(known)
		known, _ = b.Since(0)
		a.Merge(known)
	}
	_, ofA := a.Since(0)
	if added, ofB := b.Since(0); ofA != 1 || ofB != 1 || len(added) != 1 {
		t.Errorf("added %d and %d times", ofA, ofB)
	}
}

// TestRecordsAreBounded guards against memory that grows with every instance that ever left.
func TestRecordsAreBounded(t *testing.T) {
	g := New(clockwork.NewFakeClock(), hclog.NewNullLogger())
	for n := range maxRecords + 10 {
		g.Record(core.Start{ID: fmt.Sprint("i-", n)}, "a-1")
	}
	if len(g.records) != maxRecords || g.IsLeaving(core.Start{ID: "i-9"}) || !g.IsLeaving(core.Start{ID: "i-10"}) {
		t.Errorf("%d records, want the last %d", len(g.records), maxRecords)
	}
}
