package group

import (
	"time"

	"geraniumpass/proto"
	"geraniumpass/shift"
)

const (
	// resendInterval is the time after which an unanswered order is sent again. A resend takes a
	// few bytes, since a rank keeps the map that it received over a live link.
	resendInterval = 200 * time.Millisecond
	// askInterval is the minimum time between two queries of all ranks, and between two queries of
	// a closed rank: a rank that stays closed must not keep all of them busy.
	askInterval = 50 * time.Millisecond
)

// sendOrders sends the orders that are not answered yet, and resends them after resendInterval.
func (d *leadership) sendOrders(now time.Time) {
	if d.leader.Phase == shift.PhaseAsk && now.Before(d.askNotBefore) {
		return
	}
	for r, o := range d.leader.Orders() {
		if o.Op == 0 || d.links[r] == nil || !d.isDue(r, o, now) {
			continue
		}
		if o != d.sent[r] {
			// A resend keeps its sequence number, so that an answer to the first one counts.
			d.seq++
			d.seqs[r] = d.seq
		}
		d.sent[r], d.sentAt[r] = o, now
		// The end of a link is reported by its own event.
		_ = d.links[r].Send(&proto.Frame{RankOrder: d.orderFrame(r, o)})
	}
}

// isDue reports whether an order has to be sent to a rank now, first or again. The ranks of an
// incomplete group answer immediately that they are closed; without a pause they would be queried
// as fast as they answer for as long as a rank is missing.
func (d *leadership) isDue(r int, o shift.Order, now time.Time) bool {
	since := now.Sub(d.sentAt[r])
	if o == d.sent[r] {
		return since >= resendInterval
	}
	isClosed := o.Op == shift.OpAsk && !d.leader.Ranks[r].Open
	return !isClosed || since >= askInterval
}

// hasBase reports whether a rank has the map in use, from which it can build the next one.
func (d *leadership) hasBase(r int) bool {
	return d.inUse != shift.None && d.baseMap[r] == d.inUse
}

// orderFrame returns the frame of an order to a rank, with the next map if the order needs it.
func (d *leadership) orderFrame(r int, o shift.Order) *proto.GroupOrder {
	f := &proto.GroupOrder{
		Group:    d.group,
		Fence:    o.Fence,
		Seq:      d.seqs[r],
		Op:       uint8(o.Op),
		Epoch:    o.Epoch,
		Version:  o.Version,
		Step:     o.Step,
		MinAhead: o.Ahead,
	}
	if o.Op == shift.OpPrepare {
		d.addMap(r, f)
	}
	return f
}

// addMap adds the next map to a frame, as a change if the rank has the map in use. A resend over
// the same link carries no map: the maps for all ranks of a large group fill a leader's link and
// delay the orders behind them.
func (d *leadership) addMap(r int, f *proto.GroupOrder) {
	switch {
	case d.mapSent[r] == f.Version:
	case d.hasBase(r):
		f.BaseVersion, f.MapDelta = d.inUse, d.change
	default:
		f.Map = d.layout
	}
	d.mapSent[r] = f.Version
}
