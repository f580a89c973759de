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
	// A rank counts as slow from slowEnterPace on until its pace drops to slowExitPace. The
	// hysteresis keeps small changes of a pace from being written.
	slowEnterPace = 1.25
	slowExitPace  = 1.1
	// slowWriteInterval is the minimum time between two writes of a group's slow ranks; each write
	// wakes every entry.
	slowWriteInterval = 300 * time.Millisecond
	// slowRetryBackoff is the pause after a failed write.
	slowRetryBackoff = time.Second
	// slowCheckInterval is the time between two checks whether the store still has the list, which it
	// loses if it is restored from a copy. Copies are some seconds old, so an empty list is checked
	// for slowCheckTime after it was written.
	slowCheckInterval = 5 * time.Second
	slowCheckTime     = 30 * time.Second
)

// slowRankWriter publishes the slow ranks of a group under a key of the store, so that entries send
// them no more work than necessary.
type slowRankWriter struct {
	store store.Store
	key   string
	log   hclog.Logger
	// pending holds the newest list that is not written yet.
	pending chan []core.Pace
	slow    map[core.Start]bool
	last    []core.Pace
	// checkInterval is the time between two checks of the store.
	checkInterval time.Duration
}

func newSlowRankWriter(s store.Store, key string, log hclog.Logger) *slowRankWriter {
	return &slowRankWriter{
		store:   s,
		key:     key,
		log:     log,
		pending: make(chan []core.Pace, 1),
		slow:    make(map[core.Start]bool),

		checkInterval: slowCheckInterval,
	}
}

// update takes the paces of all ranks and queues a write if the set of slow ranks has changed.
func (s *slowRankWriter) update(all []core.Pace) {
	var list []core.Pace
	slow := make(map[core.Start]bool)
	for _, p := range all {
		if p.Pace >= slowEnterPace || s.slow[p.Start] && p.Pace > slowExitPace {
			slow[p.Start] = true
			list = append(list, p)
		}
	}
	s.slow = slow
	same := slices.EqualFunc(list, s.last, func(a, b core.Pace) bool { return a.Start == b.Start })
	if same {
		return
	}
	s.last = list
	select {
	case <-s.pending:
	default:
	}
	s.pending <- list
}

// isSlow reports whether a rank counted as slow in the last update.
func (s *slowRankWriter) isSlow(start core.Start) bool {
	return s.slow[start]
}

// run writes pending lists until ctx ends. It first clears what an earlier leader left in the
// store.
func (s *slowRankWriter) run(ctx context.Context) {
	revision := int64(0)
	list := []core.Pace(nil)
	written := false
	changedAt := time.Now()
	for ctx.Err() == nil {
		if !written {
			var err error
			if revision, err = s.write(ctx, list, revision); err != nil {
				s.log.Warn("cannot write slow ranks to the store, retrying", "key", s.key, "error", err)
				retry.Sleep(ctx, slowRetryBackoff)
				continue
			}
			retry.Sleep(ctx, slowWriteInterval)
			written = true
		}
		var check <-chan time.Time
		if len(list) > 0 || time.Since(changedAt) < slowCheckTime {
			check = time.After(s.checkInterval)
		}
		select {
		case <-ctx.Done():
		case list = <-s.pending:
			written, changedAt = false, time.Now()
		case <-check:
			written, revision = false, 0
		}
	}
}

// write stores a list under the key if its revision is still the given one, and returns the new
// revision. Revision 0 means unknown: the key is read first and not written if it has the list, or if
// it is absent and the list is empty.
func (s *slowRankWriter) write(ctx context.Context, list []core.Pace, revision int64) (int64, error) {
	if list == nil {
		list = []core.Pace{}
	}
	data, err := json.Marshal(list)
	if err != nil {
		return revision, err
	}
	if revision == 0 {
		current, err := s.store.Get(ctx, s.key)
		if err != nil {
			return 0, err
		}
		revision = current.Modified
		if string(current.Data) == string(data) || revision == 0 && len(list) == 0 {
			return revision, nil
		}
	}
	v, err := s.store.Swap(ctx, s.key, data, revision, 0)
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		return conflict.Current.Modified, err
	}
	if err != nil {
		return 0, err
	}
	s.log.Info("slow ranks written to the store", "key", s.key, "slow", len(list))
	return v.Modified, nil
}
