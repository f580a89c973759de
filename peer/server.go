package peer

import (
	"time"

	"github.com/samber/lo"

	"geraniumpass/crash"
	"geraniumpass/leave"
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
	// Leaving are the instances that have said that they leave.
	Leaving *leave.Registry
}

// Serve answers the questions of one peer until its link ends.
func (s *Server) Serve(l *wire.Link) {
	_ = l.Receive(func(f *proto.Frame) {
		if f.NewsAsk != nil {
			go s.answer(l, f.NewsAsk)
		}
	})
}

// answer holds a question until there is something that its peer doesn't know, or until the time that the peer waits is over.
func (s *Server) answer(l *wire.Link, ask *proto.NewsAsk) {
	timer := time.NewTimer(min(time.Duration(ask.WaitMs)*time.Millisecond, longestWait))
	defer timer.Stop()
	for {
		changed, ended := s.View.Changed(), s.Ends.Changed()
		limited, leaving := s.Quotas.Changed(), s.Leaving.Changed()
		n, isNews := s.news(ask)
		if isNews {
			_ = l.Send(&proto.Frame{News: n})
			return
		}
		select {
		case <-l.Done():
			return
		case <-timer.C:
			_ = l.Send(&proto.Frame{News: n})
			return
		case <-changed:
		case <-ended:
		case <-limited:
		case <-leaving:
		}
	}
}

// news returns what a peer lacks, and whether there is anything.
func (s *Server) news(ask *proto.NewsAsk) (n *proto.News, isNews bool) {
	snap := s.View.Now()
	n = lists(snap, ask)
	// These are looked at after the snapshot, so that they hold all that was read with it.
	n.Ends, n.EndsUpTo = s.Ends.Since(ask.Ends)
	n.Limits, n.LimitsUpTo = s.Quotas.Since(ask.Limits)
	n.Leaving, n.LeavingUpTo = s.Leaving.Since(ask.Leaving)
	return n, n.Newer || len(n.Table) > 0 || len(n.Ends)+len(n.Limits)+len(n.Leaving) > 0
}

// lists returns the snapshot's lists and its table as far as a peer lacks them.
func lists(s *view.Snapshot, ask *proto.NewsAsk) *proto.News {
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
