package leave

import (
	"fmt"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"geraniumpass/core"
)

// TestLeavingIsOfOneStart guards against an instance that gets no work since an earlier start under its id left, and against one that is forgotten
// too soon.
func TestLeavingIsOfOneStart(t *testing.T) {
	clock := clockwork.NewFakeClock()
	g := New(clock, hclog.NewNullLogger())
	left, next := core.Start{ID: "i-1", StartedAt: 1}, core.Start{ID: "i-1", StartedAt: 2}
	g.Note(left, "a-1")
	clock.Advance(kept)
	g.Sweep()
	if !g.Leaves(left) || g.Leaves(next) {
		t.Errorf("the start that said so leaves: %v, the next one: %v", g.Leaves(left), g.Leaves(next))
	}
	clock.Advance(1)
	g.Sweep()
	if g.Leaves(left) {
		t.Error("remembered for ever")
	}
}

// TestNewsOfLeavingEnds guards against entries that tell each other of the same instance again and again.
func TestNewsOfLeavingEnds(t *testing.T) {
	clock := clockwork.NewFakeClock()
	a, b := New(clock, hclog.NewNullLogger()), New(clock, hclog.NewNullLogger())
	a.Note(core.Start{ID: "i-1"}, "a-1")
	for range 10 {
		known, _ := a.Since(0)
		b.Merge(known)
		known, _ = b.Since(0)
		a.Merge(known)
	}
	_, ofA := a.Since(0)
	if news, ofB := b.Since(0); ofA != 1 || ofB != 1 || len(news) != 1 {
		t.Errorf("learned %d and %d times", ofA, ofB)
	}
}

// TestLeavingStartsAreBounded guards against a memory that grows with every instance that ever left.
func TestLeavingStartsAreBounded(t *testing.T) {
	g := New(clockwork.NewFakeClock(), hclog.NewNullLogger())
	for n := range most + 10 {
		g.Note(core.Start{ID: fmt.Sprint("i-", n)}, "a-1")
	}
	if len(g.by) != most || g.Leaves(core.Start{ID: "i-9"}) || !g.Leaves(core.Start{ID: "i-10"}) {
		t.Errorf("%d remembered, want the last %d", len(g.by), most)
	}
}
