package ledger

import (
	"sync"
	"time"
)

type claimShard struct {
	mu     sync.Mutex
	claims map[string]*claim
}

func (s *claimShard) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, c := range s.claims {
		if c.expires.Before(now) {
			delete(s.claims, key)
		}
	}
}

func (s *claimShard) size() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.claims)
}
