package peer

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"

	"geraniumpass/core"
	"geraniumpass/crash"
	"geraniumpass/proto"
	"geraniumpass/quota"
	"geraniumpass/retry"
	"geraniumpass/store"
	"geraniumpass/view"
	"geraniumpass/wire"
)

const (
	// pollers is the number of peers polled concurrently, so that updates arrive even if two of
	// them are down or partitioned.
	pollers = 3
	// dialTimeout bounds the opening of a link. Terminated members stay in the list for a while,
	// and one of them must not delay the poll of the next.
	dialTimeout = 400 * time.Millisecond
	// pollWait is how long a peer holds a poll without changes. A dead link is detected after
	// pollWait plus pollSlack.
	pollWait = 700 * time.Millisecond
	// pollSlack is the additional time allowed for a response, several hundred round trips between
	// zones.
	pollSlack = 400 * time.Millisecond
	// pollsPerPeer is the number of polls after which another peer is picked, so that no two
	// entries poll only each other.
	pollsPerPeer = 12
	// tableWait is how long a table may take to arrive from one peer before another is asked for it.
	tableWait = 250 * time.Millisecond
	// firstStateWait is how long a new entry polls a single peer for its first state.
	firstStateWait = time.Second
	// repickDelay is the pause before another peer is picked.
	repickDelay = 150 * time.Millisecond
)

// Poller polls peers for updates that this entry hasn't received from the store.
type Poller struct {
	Self         wire.Identity
	Key          []byte
	Seeds        []string
	View         *view.Cache
	Terminations TerminationSink
	// Observations holds those of requests with prompt segments; if nil, none are exchanged.
	Observations ObservationLog
	// Quotas receives the limits advertised by instances.
	Quotas LimitSink
	// Leaving receives the starts of leaving instances.
	Leaving LeavingSink
	Log     hclog.Logger
}

// TerminationSink receives a peer's records of instances that terminated while running a request.
type TerminationSink interface {
	Merge(terminations []crash.Termination)
}

// ObservationLog receives a peer's observations of requests with prompt segments and returns those to
// send.
type ObservationLog interface {
	MergeObservations(observations []crash.Observation)
	ObservationsSince(after int64) ([]crash.Observation, int64)
}

// LimitSink receives the limits advertised by instances, as known to a peer.
type LimitSink interface {
	Merge(notices []quota.Notice)
}

// LeavingSink receives the leaving instances known to a peer.
type LeavingSink interface {
	Merge(starts []core.Start)
}

// Run polls until ctx ends.
func (p *Poller) Run(ctx context.Context) {
	chosen := newSelection(p.Self.ID, p.Seeds, p.View)
	for i := 1; i < pollers; i++ {
		go p.loop(ctx, chosen, false)
	}
	p.loop(ctx, chosen, true)
}

// loop polls one peer after the other. Only the primary loop asks for tables right away, since the
// others would receive the same table at the same time.
func (p *Poller) loop(ctx context.Context, chosen *selection, primary bool) {
	if !primary {
		p.awaitFirstState(ctx)
	}
	for ctx.Err() == nil {
		if t, ok := chosen.pick(); ok {
			if !p.poll(ctx, t.address, primary) && ctx.Err() == nil && t.name != "" {
				p.View.MarkUnreachable(t.name)
			}
			chosen.release(t)
		}
		retry.Sleep(ctx, repickDelay)
	}
}

// awaitFirstState waits until the primary loop has received a state, for firstStateWait at most, so
// that a new entry gets one full snapshot and not one from each peer.
func (p *Poller) awaitFirstState(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, firstStateWait)
	defer cancel()
	for ctx.Err() == nil {
		changed := p.View.Changed()
		if p.View.Now().Rev > 0 {
			return
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}

// poll polls one peer until it is time to pick another or the link fails. It reports whether the peer
// answered to the end.
func (p *Poller) poll(ctx context.Context, address string, primary bool) bool {
	l, err := wire.DialTimeout(dialTimeout, address, p.Self, p.Key)
	if err != nil {
		p.Log.Debug("connecting to peer failed", "address", address, "error", err)
		return false
	}
	defer l.Close()
	answers := make(chan *proto.Update, 1)
	go receiveUpdates(l, answers)
	last := &proto.Update{}
	sentUpTo := int64(0)
	for range pollsPerPeer {
		q := p.request(last, primary)
		if p.Observations != nil {
			q.AcceptsObservations = true
			q.Observations, sentUpTo = p.Observations.ObservationsSince(sentUpTo)
		}
		n, asked, ok := p.ask(ctx, l, answers, q)
		if !ok {
			return false
		}
		last = n
		n.From = l.Peer.ID
		p.View.Notice(revision(n), n.TableVersion, view.Origin{
			Via:  view.ViaPeer,
			Peer: n.From,
		})
		p.apply(n)
		if n.Confirmed {
			sent := asked.Add(time.Duration(n.HeldMs) * time.Millisecond)
			p.View.Confirm(revision(n), n.TableVersion, sent.Add(-time.Duration(n.UnconfirmedMs)*time.Millisecond))
		}
		if !primary && p.lacksTable(n) {
			p.awaitTable(ctx, n)
		}
	}
	return true
}

func receiveUpdates(l *wire.Link, answers chan<- *proto.Update) {
	_ = l.Receive(func(f *proto.Frame) {
		if f.Update == nil {
			return
		}
		select {
		case answers <- f.Update:
		case <-l.Done():
		}
	})
}

// request returns the next request to a peer whose last update is given.
func (p *Poller) request(last *proto.Update, primary bool) *proto.UpdateRequest {
	s := p.View.Now()
	q := &proto.UpdateRequest{
		Rev:               store.NumberOf(s.Rev),
		Era:               store.EraOf(s.Rev),
		KnowsEra:          true,
		WaitMs:            p.View.PollHold(pollWait).Milliseconds(),
		TerminationsAfter: last.TerminationsUpTo,
		LimitsAfter:       last.LimitsUpTo,
		LeavingAfter:      last.LeavingUpTo,
		ObservationsAfter: last.ObservationsUpTo,
		AcceptsDelta:      true,
		OmitTable:         !primary && !p.lacksTable(last),

		AcceptsEvacuations: true,
		EvacuationsRev:     s.EvacuationsRev,
	}
	if s.Table != nil {
		q.Table = s.Table.Version
	}
	return q
}

// ask sends a request and returns the answer and when the request was sent. ok is false if no answer
// came in time.
func (p *Poller) ask(ctx context.Context, l *wire.Link, answers <-chan *proto.Update, q *proto.UpdateRequest) (n *proto.Update, asked time.Time, ok bool) {
	asked = time.Now()
	if l.Send(&proto.Frame{UpdateRequest: q}) != nil {
		return nil, asked, false
	}
	timeout := time.NewTimer(time.Duration(q.WaitMs)*time.Millisecond + pollSlack)
	defer timeout.Stop()
	select {
	case n = <-answers:
		return n, asked, true
	case <-timeout.C:
		p.Log.Info("peer did not answer within its timeout", "peer", l.Peer.ID)
	case <-l.Done():
	case <-ctx.Done():
	}
	return nil, asked, false
}

// lacksTable reports whether a peer has a newer table than this entry.
func (p *Poller) lacksTable(n *proto.Update) bool {
	return n.TableVersion > tableVersion(p.View)
}

// awaitTable waits until the primary loop has received the table that a peer has, for tableWait at
// most.
func (p *Poller) awaitTable(ctx context.Context, n *proto.Update) {
	ctx, cancel := context.WithTimeout(ctx, tableWait)
	defer cancel()
	for ctx.Err() == nil {
		changed := p.View.Changed()
		if !p.lacksTable(n) {
			return
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}

func (p *Poller) apply(n *proto.Update) {
	// Terminations are merged before the snapshot: once a table is known, requests are sent, and
	// those to be refused must be known by then.
	p.Terminations.Merge(n.Terminations)
	if p.Observations != nil {
		p.Observations.MergeObservations(n.Observations)
	}
	p.Quotas.Merge(n.Limits)
	p.Leaving.Merge(n.Leaving)
	adopted, err := adopt(p.View, n)
	if err != nil {
		p.Log.Error("decoding a peer's update failed", "error", err)
		return
	}
	if adopted {
		p.Log.Info("adopted a newer snapshot from a peer", "rev", n.Rev, "era", n.Era, "delta", n.Delta, "table_version", n.TableVersion)
	}
}
