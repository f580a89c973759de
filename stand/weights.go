package stand

import (
	"math"
	"sync"
	"time"
)

// weightStore emulates a store of expert weights that delivers experts sequentially at a limited
// rate.
type weightStore struct {
	mu     sync.Mutex
	rate   float64
	freeAt time.Time
	sum    int
}

// reserve schedules the loading of n experts and returns the time at which the last of them has
// arrived.
func (s *weightStore) reserve(n int) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now(); s.freeAt.Before(now) {
		s.freeAt = now
	}
	s.sum += n
	s.freeAt = s.freeAt.Add(time.Duration(math.Ceil(float64(n) / s.rate * float64(time.Second))))
	return s.freeAt
}
