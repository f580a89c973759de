package peer

import (
	"time"

	"geraniumpass/crash"
	"geraniumpass/leave"
	"geraniumpass/proto"
	"geraniumpass/quota"
	"geraniumpass/view"
	"geraniumpass/wire"
)

// maxHold bounds how long a poll is held, well below the 5 s of silence that close a link.
const maxHold = 3 * time.Second

// Server answers polls of peers from the state of this process.
type Server struct {
	View         *view.Cache
	Terminations *crash.Registry
	// Quotas holds the limits advertised by instances.
	Quotas *quota.Registry
	// Leaving holds the instances that have announced that they are leaving.
	Leaving *leave.Registry

	table     encoded
	instances encoded
}

// Serve answers the polls of one peer until its link closes.
func (s *Server) Serve(l *wire.Link) {
	_ = l.Receive(func(f *proto.Frame) {
		if f.UpdateRequest != nil {
			go s.answer(l, f.UpdateRequest)
		}
	})
}

// answer holds a poll until there is an update for the peer or its wait time is over.
func (s *Server) answer(l *wire.Link, ask *proto.UpdateRequest) {
	arrived := time.Now()
	s.Terminations.MergeObservations(ask.Observations)
	timer := time.NewTimer(min(time.Duration(ask.WaitMs)*time.Millisecond, maxHold))
	defer timer.Stop()
	for {
		changed, ended := s.View.Changed(), s.Terminations.Changed()
		limited, leaving := s.Quotas.Changed(), s.Leaving.Changed()
		n, hasUpdate := s.updateAfter(arrived, ask)
		if hasUpdate {
			_ = l.Send(&proto.Frame{Update: n})
			return
		}
		select {
		case <-l.Done():
			return
		case <-timer.C:
			n, _ = s.updateAfter(arrived, ask)
			_ = l.Send(&proto.Frame{Update: n})
			return
		case <-changed:
		case <-ended:
		case <-limited:
		case <-leaving:
		}
	}
}

// updateAfter returns the update for a poll and for how long the poll was held. That ends before the update's age is
// taken, so that the state isn't said to be more recent than it is.
func (s *Server) updateAfter(arrived time.Time, ask *proto.UpdateRequest) (n *proto.Update, hasUpdate bool) {
	held := time.Since(arrived)
	n, hasUpdate = s.update(ask)
	n.HeldMs = held.Milliseconds()
	return n, hasUpdate
}

// update returns what the peer lacks and reports whether there is anything.
func (s *Server) update(ask *proto.UpdateRequest) (n *proto.Update, hasUpdate bool) {
	// The age is taken before the state, which therefore is at least as recent as it says.
	age, confirmed := s.View.Unconfirmed()
	n = s.stateUpdate(ask)
	if confirmed {
		n.Confirmed, n.UnconfirmedMs = true, age.Milliseconds()+1
	}
	n.Evacuations = earlyEvacuations(s.View.Now(), ask, n)
	if n.Newer || len(n.Table) > 0 {
		n.Refused = s.View.Refused()
	}
	// These are read after the state, so that they include everything that was read with it.
	n.Terminations, n.TerminationsUpTo = s.Terminations.Since(ask.TerminationsAfter)
	n.Limits, n.LimitsUpTo = s.Quotas.Since(ask.LimitsAfter)
	n.Leaving, n.LeavingUpTo = s.Leaving.Since(ask.LeavingAfter)
	if ask.AcceptsObservations {
		n.Observations, n.ObservationsUpTo = s.Terminations.ObservationsSince(ask.ObservationsAfter)
	}
	// Only the first observations are sent at once: later ones come too often to answer a poll each.
	first := ask.ObservationsAfter == 0 && len(n.Observations) > 0
	return n, first || n.Newer || n.Evacuations != nil || n.TableVersion > ask.Table || len(n.Terminations)+len(n.Limits)+len(n.Leaving) > 0
}

// stateUpdate returns what changed since the peer's revision, or the full state if the peer doesn't
// understand that or lags too far behind.
func (s *Server) stateUpdate(ask *proto.UpdateRequest) *proto.Update {
	snap := s.View.Now()
	known := knownRevision(ask, snap)
	if ask.AcceptsDelta && known > 0 {
		if d, ok := s.View.Since(known); ok {
			n := deltaUpdate(d)
			s.addTable(n, d.Change.Table, ask)
			return n
		}
	}
	n := s.snapshotUpdate(snap, ask)
	s.addTable(n, snap.Table, ask)
	return n
}
