package ledger

import (
	"sync"
	"time"
)

type sessionShard struct {
	mu       sync.Mutex
	sessions map[Session]*session
}

func (s *sessionShard) get(of Session, now time.Time) *session {
	ses, ok := s.sessions[of]
	if !ok {
		ses = &session{records: make(map[uint64]*record)}
		s.sessions[of] = ses
	}
	ses.seen = now
	return ses
}

func (s *sessionShard) record(k Key) *record {
	ses, ok := s.sessions[k.Session]
	if !ok {
		return nil
	}
	return ses.records[k.N]
}

func (s *sessionShard) expire(old time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for of, ses := range s.sessions {
		if ses.seen.Before(old) {
			delete(s.sessions, of)
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
