package group

import (
	"testing"

	"geraniumpass/proto"
	"geraniumpass/shift"
)

// TestRepeatsCarryNoMap stands for 64 ranks that copy for longer than an order waits for its answer: repeats with their maps would fill the
// leader's link, and the orders to arm would wait behind them.
func TestRepeatsCarryNoMap(t *testing.T) {
	const (
		known   = 0
		unknown = 1
	)
	d := &leading{
		group:    "g",
		leader:   shift.NewLeader(1, 2),
		seqs:     make([]uint64, 2),
		inUse:    5,
		has:      []int64{5, shift.None},
		told:     []int64{shift.None, shift.None},
		prepared: make([]int64, 2),
		sent:     make([]shift.Order, 2),
		layout:   wide(),
		change:   changeBetween(wide(), changed(wide(), 24)),
	}
	o := shift.Order{
		Fence:   1,
		Op:      shift.OpPrepare,
		Epoch:   1,
		Version: 6,
	}
	bare := func(f *proto.GroupOrder) bool { return f.Map == nil && f.Base == 0 && f.Change == nil }
	if f := d.orderFrame(known, o); f.Base != 5 || len(f.Change) == 0 || f.Map != nil {
		t.Errorf("a rank that knows the map in use is told %+v", f)
	}
	if f := d.orderFrame(unknown, o); f.Map == nil {
		t.Error("a rank that doesn't know the map in use isn't told the whole next one")
	}
	for r := range 2 {
		if f := d.orderFrame(r, o); !bare(f) || f.Version != 6 {
			t.Errorf("a repeat to rank %d carries a map", r)
		}
	}
	o.Version = 7
	if f := d.orderFrame(known, o); bare(f) {
		t.Error("the order of the next switch carries no map")
	}
}
