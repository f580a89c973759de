package stand

import (
	"math"
	"sync"
	"time"
)

// weightStore hands out experts at a limited rate, one after the other.
type weightStore struct {
	mu   sync.Mutex
	rate float64
	free time.Time
	sum  int
}

// load books n experts and returns when the last of them has arrived.
func (s *weightStore) load(n int) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now(); s.free.Before(now) {
		s.free = now
	}
	s.sum += n
	s.free = s.free.Add(time.Duration(math.Ceil(float64(n) / s.rate * float64(time.Second))))
	return s.free
}
