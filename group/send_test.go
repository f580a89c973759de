package group

import (
	"testing"
	"time"

	"geraniumpass/proto"
	"geraniumpass/shift"
)

// TestResentOrdersCarryNoMap guards against resends that carry maps while 64 ranks copy for longer
// than resendInterval: they would fill the leader's link and delay the orders to arm.
func TestResentOrdersCarryNoMap(t *testing.T) {
	const (
		known   = 0
		unknown = 1
	)
	d := &leadership{
		group:    "g",
		leader:   shift.NewLeader(1, 2),
		seqs:     make([]uint64, 2),
		inUse:    5,
		baseMap:  []int64{5, shift.None},
		mapSent:  []int64{shift.None, shift.None},
		prepared: make([]int64, 2),
		sent:     make([]shift.Order, 2),
		layout:   wideLayout(),
		change:   encodeChange(wideLayout(), withChangedRows(wideLayout(), 24)),
	}
	o := shift.Order{
		Fence:   1,
		Op:      shift.OpPrepare,
		Epoch:   1,
		Version: 6,
	}
	bare := func(f *proto.GroupOrder) bool { return f.Map == nil && f.BaseVersion == 0 && f.MapDelta == nil }
	if f := d.orderFrame(known, o); f.BaseVersion != 5 || len(f.MapDelta) == 0 || f.Map != nil {
		t.Errorf("a rank that has the map in use is sent %+v", f)
	}
	if f := d.orderFrame(unknown, o); f.Map == nil {
		t.Error("a rank without the map in use is not sent the complete next map")
	}
	for r := range 2 {
		if f := d.orderFrame(r, o); !bare(f) || f.Version != 6 {
			t.Errorf("a resent order to rank %d carries a map", r)
		}
	}
	o.Version = 7
	if f := d.orderFrame(known, o); bare(f) {
		t.Error("the first order of the next switch carries no map")
	}
}

// TestClosedRanksAreAskedAtIntervals guards against a leader that queries the ranks of an
// incomplete group as fast as they answer, which takes most of their small processors.
func TestClosedRanksAreAskedAtIntervals(t *testing.T) {
	tests := []struct {
		name string
		open bool
		// answers is the rank's response time, asks the maximum number of queries per second.
		answers time.Duration
		asks    int
	}{
		{"closed", false, 2 * time.Millisecond, 20},
		{"closed, and slow to answer", false, 80 * time.Millisecond, 13},
		{"open", true, 2 * time.Millisecond, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := &leadership{
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
					d.leader.HandleAnswer(0, o, true, shift.State{Epoch: 1, Open: tt.open})
					o = d.leader.Orders()[0]
				}
				if o.Op == shift.OpAsk && d.isDue(0, o, now) {
					asks++
					d.sent[0], d.sentAt[0] = o, now
				}
			}
			if asks > tt.asks || asks == 0 {
				t.Errorf("queried %d times in a second, want 1 to %d", asks, tt.asks)
			}
		})
	}
}

// TestOpenedRankIsAskedAtOnce guards against a group that has formed but still waits for its
// leader.
func TestOpenedRankIsAskedAtOnce(t *testing.T) {
	now := time.Unix(1_000, 0)
	d := &leadership{
		leader: shift.NewLeader(1, 2),
		sent:   make([]shift.Order, 2),
		sentAt: []time.Time{now, now},
	}
	now = now.Add(time.Millisecond)
	if d.isDue(0, d.leader.Orders()[0], now) {
		t.Error("a closed rank is queried again after a millisecond")
	}
	d.leader.Observe(0, shift.State{Epoch: 1, Open: true})
	if !d.isDue(0, d.leader.Orders()[0], now) {
		t.Error("a rank that has opened is not queried")
	}
}
