package group

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/hashicorp/go-hclog"

	"geraniumpass/core"
	"geraniumpass/retry"
	"geraniumpass/store"
)

const (
	// slowFrom and slowUntil are the paces from which a rank counts as slow and down to which it goes on to: hysteresis keeps small changes
	// of a pace from being written.
	slowFrom  = 1.25
	slowUntil = 1.1
	// slowWriteEvery is the least time between two writes of a group's slow ranks; each wakes every entry.
	slowWriteEvery = 300 * time.Millisecond
	// slowRetry is the pause after a write that failed.
	slowRetry = time.Second
)

// slowRanks has entries know which ranks of a group are slow, so that those get no more work than they must: it keeps a key of the store at
// what the leader sees.
type slowRanks struct {
	store store.Store
	key   string
	log   hclog.Logger
	// news holds the newest list that is not written yet.
	news chan []core.Pace
	slow map[core.Start]bool
	last []core.Pace
}

func newSlowRanks(s store.Store, key string, log hclog.Logger) *slowRanks {
	return &slowRanks{
		store: s,
		key:   key,
		log:   log,
		news:  make(chan []core.Pace, 1),
		slow:  make(map[core.Start]bool),
	}
}

// see takes the paces of all ranks; only a change of which are slow is written.
func (s *slowRanks) see(all []core.Pace) {
	var now []core.Pace
	slow := make(map[core.Start]bool)
	for _, p := range all {
		if p.Pace >= slowFrom || s.slow[p.Start] && p.Pace > slowUntil {
			slow[p.Start] = true
			now = append(now, p)
		}
	}
	s.slow = slow
	same := slices.EqualFunc(now, s.last, func(a, b core.Pace) bool { return a.Start == b.Start })
	if same {
		return
	}
	s.last = now
	select {
	case <-s.news:
	default:
	}
	s.news <- now
}

// isSlow returns whether a rank counts as slow by what was seen last.
func (s *slowRanks) isSlow(start core.Start) bool {
	return s.slow[start]
}

// run writes until ctx ends. What an earlier leader has left in the store is taken back first.
func (s *slowRanks) run(ctx context.Context) {
	revision := int64(0)
	list := []core.Pace(nil)
	written := false
	for ctx.Err() == nil {
		if !written {
			var err error
			if revision, err = s.write(ctx, list, revision); err != nil {
				s.log.Warn("slow ranks not in the store yet", "key", s.key, "error", err)
				retry.Pause(ctx, slowRetry)
				continue
			}
			retry.Pause(ctx, slowWriteEvery)
			written = true
		}
		select {
		case <-ctx.Done():
		case list = <-s.news:
			written = false
		}
	}
}

// write puts a list under the key, last seen at a revision, and returns its revision; nothing is written where nothing is to be said.
func (s *slowRanks) write(ctx context.Context, list []core.Pace, revision int64) (int64, error) {
	if revision == 0 {
		have, err := s.store.Get(ctx, s.key)
		if err != nil {
			return 0, err
		}
		revision = have.Modified
		if len(list) == 0 && (revision == 0 || string(have.Data) == "[]") {
			return revision, nil
		}
	}
	if list == nil {
		list = []core.Pace{}
	}
	data, err := json.Marshal(list)
	if err != nil {
		return revision, err
	}
	v, err := s.store.Swap(ctx, s.key, data, revision, 0)
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		return conflict.Current.Modified, err
	}
	if err != nil {
		return 0, err
	}
	s.log.Info("slow ranks told", "key", s.key, "slow", len(list))
	return v.Modified, nil
}
