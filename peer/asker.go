package peer

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/hashicorp/go-hclog"

	"geraniumpass/core"
	"geraniumpass/crash"
	"geraniumpass/proto"
	"geraniumpass/quota"
	"geraniumpass/retry"
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
	for i := 1; i < pollers; i++ {
		go p.loop(ctx)
	}
	p.loop(ctx)
}

func (p *Poller) loop(ctx context.Context) {
	for ctx.Err() == nil {
		if address := p.pickPeer(); address != "" {
			p.poll(ctx, address)
		}
		retry.Sleep(ctx, repickDelay)
	}
}

// pickPeer returns the address of a random peer, of a random seed if no peer is known, or an empty
// string if there is neither.
func (p *Poller) pickPeer() string {
	var list []string
	for name, address := range p.View.Now().Members {
		if name != p.Self.ID {
			list = append(list, address)
		}
	}
	if len(list) == 0 {
		list = p.Seeds
	}
	if len(list) == 0 {
		return ""
	}
	return list[rand.IntN(len(list))]
}

// poll polls one peer until it is time to pick another or the link fails.
func (p *Poller) poll(ctx context.Context, address string) {
	l, err := wire.DialTimeout(dialTimeout, address, p.Self, p.Key)
	if err != nil {
		p.Log.Debug("connecting to peer failed", "address", address, "error", err)
		return
	}
	defer l.Close()
	answers := make(chan *proto.Update, 1)
	go func() {
		_ = l.Receive(func(f *proto.Frame) {
			if f.Update == nil {
				return
			}
			select {
			case answers <- f.Update:
			case <-l.Done():
			}
		})
	}()
	last := &proto.Update{}
	for range pollsPerPeer {
		s := p.View.Now()
		q := &proto.UpdateRequest{
			Rev:               s.Rev,
			WaitMs:            pollWait.Milliseconds(),
			TerminationsAfter: last.TerminationsUpTo,
			LimitsAfter:       last.LimitsUpTo,
			LeavingAfter:      last.LeavingUpTo,
			AcceptsDelta:      true,
		}
		if s.Table != nil {
			q.Table = s.Table.Version
		}
		if l.Send(&proto.Frame{UpdateRequest: q}) != nil {
			return
		}
		timeout := time.NewTimer(pollWait + pollSlack)
		select {
		case last = <-answers:
			timeout.Stop()
			p.apply(last)
		case <-timeout.C:
			p.Log.Info("peer did not answer within its timeout", "peer", l.Peer.ID)
			return
		case <-l.Done():
			timeout.Stop()
			return
		case <-ctx.Done():
			timeout.Stop()
			return
		}
	}
}

func (p *Poller) apply(n *proto.Update) {
	// Terminations are merged before the snapshot: once a table is known, requests are sent, and
	// those to be refused must be known by then.
	p.Terminations.Merge(n.Terminations)
	p.Quotas.Merge(n.Limits)
	p.Leaving.Merge(n.Leaving)
	adopted, err := adopt(p.View, n)
	if err != nil {
		p.Log.Error("decoding a peer's update failed", "error", err)
		return
	}
	if adopted {
		p.Log.Info("adopted a newer snapshot from a peer", "rev", n.Rev, "delta", n.Delta)
	}
}
