package ledger

import (
	"sync"
	"time"
)

type sessionShard struct {
	mu       sync.Mutex
	sessions map[Session]*session
}

func (s *sessionShard) getOrCreate(id Session, now time.Time) *session {
	ses, ok := s.sessions[id]
	if !ok {
		ses = &session{records: make(map[uint64]*record)}
		s.sessions[id] = ses
	}
	ses.lastSeen = now
	return ses
}

func (s *sessionShard) record(k Key) *record {
	ses, ok := s.sessions[k.Session]
	if !ok {
		return nil
	}
	return ses.records[k.N]
}

func (s *sessionShard) expire(cutoff time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, ses := range s.sessions {
		if ses.lastSeen.Before(cutoff) {
			delete(s.sessions, id)
		}
	}
}

func (s *sessionShard) size() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, ses := range s.sessions {
		n += len(ses.records)
	}
	return n
}
