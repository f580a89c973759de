package feed

import (
	"context"
	"time"

	"geraniumpass/loads"
	"geraniumpass/proto"
	"geraniumpass/wire"
)

const (
	// dialTimeout bounds the opening of a link. Instances stay listed for a while after their machine
	// failed, and one of them must not delay the feed from the next.
	dialTimeout = 400 * time.Millisecond
	// silenceTimeout is how long an agent may send nothing. Agents send several times within it.
	silenceTimeout = 500 * time.Millisecond
	// renewInterval is how often a subscription is renewed, since agents close links on which they
	// receive nothing for some seconds.
	renewInterval = 2 * time.Second
)

// end is why a subscription ended.
type end int

const (
	endUnneeded end = iota
	endUnreachable
	endSilent
	endClosed
	endBadMessage
)

// String returns the reason as shown in logs.
func (e end) String() string {
	switch e {
	case endUnneeded:
		return "unneeded"
	case endUnreachable:
		return "unreachable"
	case endSilent:
		return "silent"
	case endClosed:
		return "closed"
	case endBadMessage:
		return "bad_message"
	}
	return "unknown"
}

// follow subscribes to an agent, records each status on the board, and calls heard for those that matter
// to the selection, until ctx or the subscription ends.
func (f *Feeder) follow(ctx context.Context, a agent, heard func(g *loads.Group)) end {
	l, err := wire.DialTimeout(dialTimeout, a.address, f.Self, f.Key)
	if err != nil {
		f.Log.Debug("cannot connect to agent", "address", a.address, "error", err)
		return endUnreachable
	}
	defer l.Close()
	if err := subscribe(l); err != nil {
		return endClosed
	}
	messages := make(chan *proto.GroupLoad)
	go f.receive(l, messages)
	return f.consume(ctx, l, messages, heard)
}

// subscribe begins or renews the subscription of a link.
func subscribe(l *wire.Link) error {
	return l.Send(&proto.Frame{GroupLoadRequest: &proto.GroupLoadRequest{}})
}

func (f *Feeder) receive(l *wire.Link, messages chan<- *proto.GroupLoad) {
	err := l.Receive(func(fr *proto.Frame) {
		if fr.GroupLoad == nil {
			return
		}
		select {
		case messages <- fr.GroupLoad:
		case <-l.Done():
		}
	})
	f.Log.Debug("link to agent closed", "agent", l.Peer.ID, "error", err)
}

func (f *Feeder) consume(ctx context.Context, l *wire.Link, messages <-chan *proto.GroupLoad, heard func(g *loads.Group)) end {
	var decoder loads.Decoder
	var last posted
	silence := f.Clock.NewTimer(silenceTimeout)
	defer silence.Stop()
	renew := f.Clock.NewTicker(renewInterval)
	defer renew.Stop()
	for {
		select {
		case <-ctx.Done():
			return endUnneeded
		case <-l.Done():
			return endClosed
		case <-silence.Chan():
			counts.Add(countSilent, 1)
			return endSilent
		case <-renew.Chan():
			if err := subscribe(l); err != nil {
				return endClosed
			}
		case m := <-messages:
			counts.Add(countMessages, 1)
			g, err := decoder.Decode(m)
			if err != nil {
				counts.Add(countBadMessages, 1)
				f.Log.Warn("decoding the load of a group failed", "agent", l.Peer.ID, "error", err)
				return endBadMessage
			}
			f.Board.Update(g)
			if last.isDue(f.Clock.Now(), &g) {
				heard(&g)
			}
			silence.Reset(silenceTimeout)
		}
	}
}
