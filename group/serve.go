package group

import (
	"time"

	"geraniumpass/loads"
	"geraniumpass/proto"
	"geraniumpass/wire"
)

// sendState sends the newest state to the leader.
func (a *Agent) sendState() {
	a.mu.Lock()
	l := a.leader
	f := a.stateFrame(a.report)
	now := a.Clock.Now()
	if l == nil {
		// Counts from before the next leader's term are of no use to it.
		a.tally.Take()
	}
	if l != nil && (a.urgent || now.Sub(a.countsSentAt) >= time.Duration(a.countsLen)*countsIntervalPerCount) {
		a.packCounts(f)
		a.countsSentAt = now
		a.urgent = false
	}
	a.mu.Unlock()
	if l != nil {
		_ = l.Send(&proto.Frame{RankState: f})
	}
}

// stateFrame returns the message with a report. The caller holds mu.
func (a *Agent) stateFrame(rep Report) *proto.GroupRank {
	return &proto.GroupRank{
		EngineStart: rep.EngineStart,
		Group:       rep.Group,
		Epoch:       rep.Epoch,
		Rank:        rep.Rank,
		Size:        rep.Size,
		Open:        rep.Open,
		Step:        rep.Step,
		Map:         rep.Map,
		Prepared:    rep.Prepared,
		Armed:       rep.Armed,
		ArmedStep:   rep.ArmedStep,
		Held:        rep.Held,
		Pace:        rep.Pace,
		Running:     rep.Running,
		Waiting:     rep.Waiting,
		ReadableMs:  a.Clock.Since(a.readableSince).Milliseconds(),
	}
}

// Serve handles a leader's orders, or an entry's subscription, from a link until the link ends.
func (a *Agent) Serve(l *wire.Link) {
	a.mu.Lock()
	a.links[l] = true
	a.mu.Unlock()
	var d loads.Decoder
	subscribed := false
	_ = l.Receive(func(f *proto.Frame) {
		switch {
		case f.GroupLoadRequest != nil:
			subscribed = true
			a.publisher.subscribe(l)
		case f.RankOrder != nil && !subscribed:
			a.handleOrder(l, f.RankOrder)
			a.storeLoads(l, &d, f.RankOrder)
		}
	})
	a.publisher.unsubscribe(l)
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.links, l)
	if a.leader == l {
		a.leader = nil
	}
}

// Close closes the links of all leaders, as the end of the process would.
func (a *Agent) Close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for l := range a.links {
		l.Close()
	}
}

// storeLoads stores the loads of all ranks if the link is the leader's. It decodes those of any other
// as well, since later ones on the link omit the incarnations.
func (a *Agent) storeLoads(l *wire.Link, d *loads.Decoder, o *proto.GroupOrder) {
	if o.Loads == nil {
		return
	}
	ranks, err := d.DecodeRanks(o.Loads)
	if err != nil {
		a.Log.Warn("ignoring loads of a leader", "leader", l.Peer.ID, "error", err)
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.leader == l && o.Group == a.report.Group && len(ranks) == a.report.Size {
		a.seen.setRanks(a.Clock.Now(), ranks)
		a.seen.setMissing(a.Clock.Now(), loads.MissingRanks(o.Loads), loads.BackFor(o.Loads))
	}
}
