package group

import (
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"geraniumpass/loads"
	"geraniumpass/outage"
	"geraniumpass/proto"
	"geraniumpass/shift"
	"geraniumpass/wire"
)

// TestAgentEstimatesOpening guards against entries that are told nothing of an outage: agents learn from the
// leader's numbers and publish what they expect, and nothing by a number that is too old.
func TestAgentEstimatesOpening(t *testing.T) {
	clock := clockwork.NewFakeClock()
	a := NewAgent(&stubEngine{}, clock, hclog.NewNullLogger())
	l := &wire.Link{}
	a.leader = l
	var d loads.Decoder
	observe := func(open bool, missing int) {
		clock.Advance(100 * time.Millisecond)
		a.storeReport(Report{
			State: shift.State{Epoch: 1, Open: open},
			Group: "g",
			Size:  2,
		})
		m := loads.EncodeRanks(make([]loads.Rank, 2), 1, true)
		m.Missing = &missing
		a.storeLoads(l, &d, &proto.GroupOrder{
			Group: "g",
			Loads: m,
		})
	}
	basis := func() outage.Basis {
		g, ok := a.seen.group(clock.Now())
		if !ok {
			t.Fatal("nothing is known of the group")
		}
		return g.Opening.Basis
	}
	wants := [][]outage.Basis{
		{outage.BasisUnknown, outage.BasisBack},
		{outage.BasisMissing, outage.BasisForming},
	}
	for i, want := range wants {
		observe(true, 0)
		observe(false, 1)
		observe(false, 1)
		if got := basis(); got != want[0] {
			t.Errorf("outage %d, a rank is missing: basis %s, want %s", i, got, want[0])
		}
		observe(false, 0)
		observe(false, 0)
		if got := basis(); got != want[1] {
			t.Errorf("outage %d, all ranks are back: basis %s, want %s", i, got, want[1])
		}
		observe(true, 0)
	}
	clock.Advance(loadTTL)
	observe(false, 1)
	clock.Advance(loadTTL)
	a.storeReport(a.report)
	if got := a.seen.outage.Phase(); got != outage.PhaseClosed {
		t.Errorf("a number of missing ranks that is too old counts: phase %s", got)
	}
}
