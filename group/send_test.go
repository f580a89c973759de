package group

import (
	"testing"
	"time"

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

// TestClosedRanksAreAskedWithPauses guards against a leader that asks the ranks of a group that lacks one as fast as they answer, which takes
// most of their small processors.
func TestClosedRanksAreAskedWithPauses(t *testing.T) {
	tests := []struct {
		name string
		open bool
		// answers is how soon the rank answers, asks how many questions it may get in a second.
		answers time.Duration
		asks    int
	}{
		{"closed", false, 2 * time.Millisecond, 20},
		{"closed, and slow to answer", false, 80 * time.Millisecond, 13},
		{"open", true, 2 * time.Millisecond, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := &leading{
				leader: shift.NewLeader(1, 2),
				sent:   make([]shift.Order, 2),
				sentAt: make([]time.Time, 2),
			}
			start := time.Unix(1_000, 0)
			asks := 0
			for now := start; now.Before(start.Add(time.Second)); now = now.Add(time.Millisecond) {
				o := d.leader.Orders()[0]
				if d.sent[0].Op != 0 && now.Sub(d.sentAt[0]) >= tt.answers {
					d.sent[0] = shift.Order{}
					d.leader.Answered(0, o, true, shift.State{Epoch: 1, Open: tt.open})
					o = d.leader.Orders()[0]
				}
				if o.Op == shift.OpAsk && d.isDue(0, o, now) {
					asks++
					d.sent[0], d.sentAt[0] = o, now
				}
			}
			if asks > tt.asks || asks == 0 {
				t.Errorf("asked %d times in a second, want 1 to %d", asks, tt.asks)
			}
		})
	}
}

// TestOpenedRankIsAskedAtOnce guards against a group that has formed and waits for its leader.
func TestOpenedRankIsAskedAtOnce(t *testing.T) {
	now := time.Unix(1_000, 0)
	d := &leading{
		leader: shift.NewLeader(1, 2),
		sent:   make([]shift.Order, 2),
		sentAt: []time.Time{now, now},
	}
	now = now.Add(time.Millisecond)
	if d.isDue(0, d.leader.Orders()[0], now) {
		t.Error("a closed rank is asked again after a millisecond")
	}
	d.leader.Take(0, shift.State{Epoch: 1, Open: true})
	if !d.isDue(0, d.leader.Orders()[0], now) {
		t.Error("a rank that has opened is not asked")
	}
}
