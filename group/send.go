package group

import (
	"time"

	"geraniumpass/proto"
	"geraniumpass/shift"
)

const (
	// repeatAfter is when an order without an answer is given again, by a few bytes: a rank keeps what it was told over a link that lives.
	repeatAfter = 200 * time.Millisecond
	// askEvery is the least time between two rounds of questions to all ranks, and between two to a rank that is closed: one that can't go on
	// must not keep all of them busy.
	askEvery = 50 * time.Millisecond
)

// send gives the orders that are not answered yet, again after a while.
func (d *leading) send(now time.Time) {
	if d.leader.Phase == shift.PhaseAsk && now.Before(d.askFrom) {
		return
	}
	for r, o := range d.leader.Orders() {
		if o.Op == 0 || d.links[r] == nil || !d.isDue(r, o, now) {
			continue
		}
		if o != d.sent[r] {
			// A repeat keeps its number, so that the answer to the first counts.
			d.seq++
			d.seqs[r] = d.seq
		}
		d.sent[r], d.sentAt[r] = o, now
		// A link that has ended is told by its own event.
		_ = d.links[r].Send(&proto.Frame{RankOrder: d.orderFrame(r, o)})
	}
}

// isDue returns true when an order has to go to a rank now, for the first time or once more. The ranks of a group that is not whole answer at
// once that they are closed: without a pause they would be asked as fast as they answer, for as long as a rank is missing.
func (d *leading) isDue(r int, o shift.Order, now time.Time) bool {
	since := now.Sub(d.sentAt[r])
	if o == d.sent[r] {
		return since >= repeatAfter
	}
	isClosed := o.Op == shift.OpAsk && !d.leader.Ranks[r].Open
	return !isClosed || since >= askEvery
}

// knows returns true when a rank can put the next map together from the one in use.
func (d *leading) knows(r int) bool {
	return d.inUse != shift.None && d.has[r] == d.inUse
}

// orderFrame is an order as it goes to a rank, with the next map where the order needs it.
func (d *leading) orderFrame(r int, o shift.Order) *proto.GroupOrder {
	f := &proto.GroupOrder{
		Group:   d.group,
		Fence:   o.Fence,
		Seq:     d.seqs[r],
		Op:      uint8(o.Op),
		Epoch:   o.Epoch,
		Version: o.Version,
		Step:    o.Step,
		Ahead:   o.Ahead,
	}
	if o.Op == shift.OpPrepare {
		d.addMap(r, f)
	}
	return f
}

// addMap has a frame carry the next map, by what it changes where the rank knows the one in use. A repeat over the same link carries none:
// the maps for all ranks of a large group fill a leader's link, and the orders behind them come late.
func (d *leading) addMap(r int, f *proto.GroupOrder) {
	switch {
	case d.told[r] == f.Version:
	case d.knows(r):
		f.Base, f.Change = d.inUse, d.change
	default:
		f.Map = d.layout
	}
	d.told[r] = f.Version
}
