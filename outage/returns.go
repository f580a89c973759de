package outage

import (
	"math"
	"sync"
	"time"
)

const (
	// rateWindow is the time constant over which the rate of refused requests is observed.
	rateWindow = time.Second
	// maxSpread bounds the time over which callers come back after an opening.
	maxSpread = 2 * time.Second
	// dueTTL is the time without a request from which another outage has begun.
	dueTTL = time.Second
)

// Room is how fast the groups that open take requests. All entries share it.
type Room struct {
	// Ranks is the number of instances, each of which begins about one request in a step.
	Ranks int
	Step  time.Duration
}

// Returns counts the requests of an entry that no group can take. It is safe for concurrent use.
type Returns struct {
	mu sync.Mutex
	// weight is the number of requests within rateWindow before lastAt, due the number of those that
	// come back or wait for the group that forms.
	weight float64
	due    int
	lastAt time.Time
}

// Add counts a request that finds the groups as estimated, and returns the time over which those that are
// due at the opening should have their turns: that in which the groups begin as many. Each entry takes the
// others to have as many requests as itself.
func (r *Returns) Add(now time.Time, e Estimate, room Room, entries int) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.lastAt) >= dueTTL {
		r.due = 0
	}
	r.weight = 1 + r.weight*math.Exp(-now.Sub(r.lastAt).Seconds()/rateWindow.Seconds())
	r.lastAt = now
	if e.Basis < BasisBack {
		r.due = 0
		return 0
	}
	r.due++
	if room.Ranks <= 0 {
		return 0
	}
	due := float64(r.due) + r.weight/rateWindow.Seconds()*e.OpensIn.Seconds()
	steps := due * float64(entries) / float64(room.Ranks)
	return time.Duration(min(float64(maxSpread), steps*float64(room.Step)))
}
