package view

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"

	"geraniumpass/retry"
	"geraniumpass/store"
)

const (
	// watchLeast and watchMost bound how long the store holds a watch without news. Each watch is a call that costs, but all may die at
	// once without a word: entries spread over the span between them, so that one asks anew soon and the others hear of it.
	watchLeast = 700 * time.Millisecond
	watchMost  = 4 * time.Second
	// gather is how long after a change the next one is waited for elsewhere than at the store: changes that come together cost one call.
	// Among many members most wait longer, by gatherEach a member and gatherMost at most: the first to ask anew tell the others. The bound keeps what
	// has to be known in two seconds known where no other entry can be heard.
	gather     = 150 * time.Millisecond
	gatherEach = 10 * time.Millisecond
	gatherMost = time.Second
	// retryFirst and retryLongest bound the wait between two calls to a store that fails.
	retryFirst   = 100 * time.Millisecond
	retryLongest = time.Second
	// quiet is how long a watch may lag behind a peer's news before it is taken for dead: some sixty answers of a calm store.
	quiet = 250 * time.Millisecond
	// tickEvery is how often lapsed instances are looked over.
	tickEvery = 100 * time.Millisecond
)

// Run keeps the view fresh from the store until ctx ends.
func (k *Keeper) Run(ctx context.Context, src Source) {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = retryFirst
	wait.MaxInterval = retryLongest
	full := true
	for ctx.Err() == nil {
		c, err := k.next(ctx, src, full)
		if err == nil {
			k.StoreBack()
			k.Apply(c)
			k.tickWhileWaiting()
			wait.Reset()
			full = false
			retry.Pause(ctx, k.gatherTime())
			continue
		}
		var compacted *store.CompactedError
		if errors.As(err, &compacted) {
			k.log.Info("history is gone, reading everything", "after", compacted.After)
			full = true
			continue
		}
		if errors.Is(err, errOvertaken) {
			continue
		}
		k.StoreLost()
		k.log.Warn("store can't be read", "error", err)
		retry.Pause(ctx, wait.NextBackOff())
	}
}

var errOvertaken = errors.New("a peer's news overtook the watch")

// next waits for one change; a watch that is behind a peer's news for longer than quiet is given up.
func (k *Keeper) next(ctx context.Context, src Source, full bool) (Change, error) {
	if full {
		return src.Load(ctx)
	}
	after := k.Now().Rev
	watching, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go k.guard(watching, cancel, after)
	c, err := src.Follow(watching, after, k.watchTime())
	if err != nil && errors.Is(context.Cause(watching), errOvertaken) {
		return c, errOvertaken
	}
	return c, err
}

// watchTime is how long the store holds the next watch.
func (k *Keeper) watchTime() time.Duration {
	return watchLeast + k.part(watchMost-watchLeast)
}

// gatherTime is how long after a change the next watch begins.
func (k *Keeper) gatherTime() time.Duration {
	members := time.Duration(len(k.Now().Members))
	return gather + k.part(min(members*gatherEach, gatherMost))
}

// part returns this entry's part of a span: its place among the members, moved on by the revision, says how much.
func (k *Keeper) part(span time.Duration) time.Duration {
	s := k.Now()
	at, of := place(s, k.name)
	return time.Duration((int64(at)+s.Rev)%int64(of)) * span / time.Duration(of)
}

// place returns how many members stand before a name, and how many there are; one that is not among them yet has a place of its own.
func place(s *Snapshot, name string) (at, of int) {
	if _, member := s.Members[name]; !member {
		return 0, 1
	}
	for other := range s.Members {
		if other < name {
			at++
		}
	}
	return at, len(s.Members)
}

func (k *Keeper) guard(ctx context.Context, cancel context.CancelCauseFunc, after int64) {
	for {
		changed := k.Changed()
		if k.Now().Rev > after {
			break
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
	retry.Pause(ctx, quiet)
	cancel(errOvertaken)
}

// tickWhileWaiting looks over lapsed instances in the background until none is left.
func (k *Keeper) tickWhileWaiting() {
	k.mu.Lock()
	start := k.book.Waiting() && !k.ticking
	k.ticking = k.ticking || start
	k.mu.Unlock()
	if !start {
		return
	}
	go func() {
		for waiting := true; waiting; {
			k.clock.Sleep(tickEvery)
			k.Tick()
			k.mu.Lock()
			waiting = k.book.Waiting()
			k.ticking = waiting
			k.mu.Unlock()
		}
	}()
}
