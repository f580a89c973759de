package peer

import (
	"time"

	"github.com/samber/lo"

	"geraniumpass/crash"
	"geraniumpass/proto"
	"geraniumpass/quota"
	"geraniumpass/view"
	"geraniumpass/wire"
)

// longestWait bounds how long a question is held, well under the five seconds of silence that end a link.
const longestWait = 3 * time.Second

// Server answers peers from what this process knows.
type Server struct {
	View *view.Keeper
	Ends *crash.Registry
	// Quotas are the limits that instances state.
	Quotas *quota.Registry
}

// Serve answers the questions of one peer until its link ends.
func (s *Server) Serve(l *wire.Link) {
	_ = l.Receive(func(f *proto.Frame) {
		if f.NewsAsk != nil {
			go s.answer(l, f.NewsAsk)
		}
	})
}

func (s *Server) answer(l *wire.Link, ask *proto.NewsAsk) {
	timer := time.NewTimer(min(time.Duration(ask.WaitMs)*time.Millisecond, longestWait))
	defer timer.Stop()
	for {
		changed, learned, limited := s.View.Changed(), s.Ends.Changed(), s.Quotas.Changed()
		snap := s.View.Now()
		// Ends are looked at after the snapshot, so that they hold all that was read with it.
		ends, upTo := s.Ends.Since(ask.Ends)
		limits, limitsUpTo := s.Quotas.Since(ask.Limits)
		if snap.Rev > ask.Rev || snap.Table != nil && snap.Table.Version > ask.Table || len(ends)+len(limits) > 0 {
			n := news(snap, ask)
			n.Ends, n.EndsUpTo = ends, upTo
			n.Limits, n.LimitsUpTo = limits, limitsUpTo
			_ = l.Send(&proto.Frame{News: n})
			return
		}
		select {
		case <-l.Done():
			return
		case <-timer.C:
			_ = l.Send(&proto.Frame{News: &proto.News{
				Rev:        snap.Rev,
				EndsUpTo:   upTo,
				LimitsUpTo: limitsUpTo,
			}})
			return
		case <-changed:
		case <-learned:
		case <-limited:
		}
	}
}

func news(s *view.Snapshot, ask *proto.NewsAsk) *proto.News {
	n := &proto.News{
		Rev:   s.Rev,
		Newer: s.Rev > ask.Rev,
	}
	// Plain structs of our own can always be encoded. Ends of instances come one by one, and the lists are long: they go only to who lacks them.
	if n.Newer {
		n.Instances = lo.Must(proto.Marshal(s.Instances))
		n.Members = s.Members
		n.Lapsed = s.Lapsed
		n.Paces = s.Paces
	}
	if s.Table != nil && s.Table.Version > ask.Table {
		n.Table = lo.Must(proto.Marshal(s.Table))
	}
	return n
}
