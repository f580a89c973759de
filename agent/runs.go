package agent

import (
	"sync"
	"time"

	"geraniumpass/ledger"
)

const runShards = 16

// runs maps the key of each attempt to the run whose answer it reads.
type runs struct {
	shards [runShards]runShard
}

type runShard struct {
	mu   sync.Mutex
	runs map[ledger.Key]*run
}

func newRuns() *runs {
	rs := &runs{}
	for i := range rs.shards {
		rs.shards[i].runs = make(map[ledger.Key]*run)
	}
	return rs
}

func (rs *runs) shard(k ledger.Key) *runShard {
	return &rs.shards[(k.N+k.Session.Incarnation)%runShards]
}

func (rs *runs) put(k ledger.Key, r *run) {
	s := rs.shard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[k] = r
}

// add stores r under k unless k is taken, and reports whether it did.
func (rs *runs) add(k ledger.Key, r *run) bool {
	s := rs.shard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.runs[k]; ok {
		return false
	}
	s.runs[k] = r
	return true
}

func (rs *runs) get(k ledger.Key) *run {
	s := rs.shard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[k]
}

func (rs *runs) remove(keys ...ledger.Key) {
	for _, k := range keys {
		s := rs.shard(k)
		s.mu.Lock()
		delete(s.runs, k)
		s.mu.Unlock()
	}
}

func (rs *runs) each(fn func(*run)) {
	for i := range rs.shards {
		s := &rs.shards[i]
		s.mu.Lock()
		list := make([]*run, 0, len(s.runs))
		for _, r := range s.runs {
			list = append(list, r)
		}
		s.mu.Unlock()
		for _, r := range list {
			fn(r)
		}
	}
}

// expire removes finished runs whose claim retention has passed.
func (rs *runs) expire(now time.Time) {
	rs.each(func(r *run) {
		if r.ended() && now.After(r.queuedAt.Add(r.dispatch.ClaimRetention+orphanTimeout)) {
			rs.remove(r.keys()...)
			rs.remove(r.key)
		}
	})
}
