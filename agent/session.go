package agent

import (
	"sync"
	"time"

	"geraniumpass/ledger"
	"geraniumpass/proto"
	"geraniumpass/wire"
)

// sessions holds the newest link and the state of each entry session.
type sessions struct {
	mu    sync.RWMutex
	links map[ledger.Session]*wire.Link
	// floors holds the lowest attempt number still open in each session.
	floors map[ledger.Session]uint64
	// leavingAcked holds the sessions whose entries have acknowledged that the agent leaves.
	leavingAcked map[ledger.Session]bool
}

func newSessions() *sessions {
	return &sessions{
		links:        make(map[ledger.Session]*wire.Link),
		floors:       make(map[ledger.Session]uint64),
		leavingAcked: make(map[ledger.Session]bool),
	}
}

func sessionOf(l *wire.Link) ledger.Session {
	return ledger.Session{
		Entry:       l.Peer.ID,
		Incarnation: l.Peer.Incarnation,
	}
}

func (s *sessions) add(l *wire.Link) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.links[sessionOf(l)] = l
}

func (s *sessions) remove(l *wire.Link) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.links[sessionOf(l)] == l {
		delete(s.links, sessionOf(l))
		delete(s.floors, sessionOf(l))
		delete(s.leavingAcked, sessionOf(l))
	}
}

func (s *sessions) raiseFloor(session ledger.Session, floor uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.floors[session] = max(s.floors[session], floor)
}

func (s *sessions) ackLeaving(session ledger.Session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leavingAcked[session] = true
}

// awaitingLeavingAck reports whether a linked entry may still dispatch to the agent because it has
// not acknowledged that the agent leaves.
func (s *sessions) awaitingLeavingAck() bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for session := range s.links {
		if !s.leavingAcked[session] {
			return true
		}
	}
	return false
}

// belowFloor reports whether the entry has closed the attempt, possibly while its link was down.
func (s *sessions) belowFloor(k ledger.Key) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return k.N < s.floors[k.Session]
}

// send sends a frame on the session's link. Without a link the frame is dropped; the entry recovers
// it with a resume.
func (s *sessions) send(to ledger.Session, f *proto.Frame) {
	s.mu.RLock()
	l := s.links[to]
	s.mu.RUnlock()
	if l != nil {
		_ = l.Send(f)
	}
}

func (s *sessions) connected(to ledger.Session) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.links[to] != nil
}

func (s *sessions) all() []*wire.Link {
	s.mu.RLock()
	defer s.mu.RUnlock()
	out := make([]*wire.Link, 0, len(s.links))
	for _, l := range s.links {
		out = append(out, l)
	}
	return out
}

func (s *sessions) closeAll(flush time.Duration) {
	for _, l := range s.all() {
		l.Flush(flush)
		l.Close()
	}
}
