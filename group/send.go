package group

import (
	"time"

	"geraniumpass/proto"
	"geraniumpass/shift"
)

const (
	// repeatAfter is when an order without an answer is given again; a copy takes longer, and its rank passes the repeats over.
	repeatAfter = 200 * time.Millisecond
	// repeatWhole is the same for an order with a whole map: those for all ranks of a group take a small link some 100 ms.
	repeatWhole = 600 * time.Millisecond
	// askEvery is the least time between two rounds of questions to all ranks: one that can't go on must not keep all of them busy.
	askEvery = 50 * time.Millisecond
)

// send gives the orders that are not answered yet, again after a while.
func (d *leading) send(now time.Time) {
	if d.leader.Phase == shift.PhaseAsk && now.Before(d.askFrom) {
		return
	}
	for r, o := range d.leader.Orders() {
		if o.Op == 0 || d.links[r] == nil || o == d.sent[r] && now.Sub(d.sentAt[r]) < d.patience(r, o) {
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

// knows returns true when a rank can put the next map together from the one in use.
func (d *leading) knows(r int) bool {
	return d.inUse != shift.None && d.has[r] == d.inUse
}

// patience is how long an order may go without an answer before it is given again.
func (d *leading) patience(r int, o shift.Order) time.Duration {
	if o.Op == shift.OpPrepare && !d.knows(r) {
		return repeatWhole
	}
	return repeatAfter
}

// orderFrame is an order as it goes to a rank, with the next map by its rows where the rank knows the one in use.
func (d *leading) orderFrame(r int, o shift.Order) *proto.GroupOrder {
	f := &proto.GroupOrder{
		Group:   d.group,
		Fence:   o.Fence,
		Seq:     d.seqs[r],
		Op:      uint8(o.Op),
		Epoch:   o.Epoch,
		Version: o.Version,
		Step:    o.Step,
	}
	switch {
	case o.Op != shift.OpPrepare:
	case d.knows(r):
		f.Base, f.Rows = d.inUse, d.rows
	default:
		f.Map = d.layout
	}
	return f
}
