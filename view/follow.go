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
	// minWatchTimeout and maxWatchTimeout bound how long the store holds a watch without changes.
	// Each watch costs the store a call, but all watches may fail silently at once. Entries stagger
	// their timeouts over this range, so that one of them renews its watch early and the others
	// learn of changes from it.
	minWatchTimeout = 700 * time.Millisecond
	maxWatchTimeout = 4 * time.Second
	// baseWatchDelay is the pause between a change and the next watch, so that changes close
	// together cost one call. Each member adds watchDelayPerMember, up to maxExtraWatchDelay, and
	// entries stagger their pauses over the result: the first to watch again informs the others.
	// The bound lets even an entry that can't reach its peers learn in time of departures and other
	// changes that must be known everywhere within 2 s.
	baseWatchDelay      = 150 * time.Millisecond
	watchDelayPerMember = 10 * time.Millisecond
	maxExtraWatchDelay  = time.Second
	// initialBackoff and maxBackoff bound the backoff between calls to a failing store.
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = time.Second
	// staleWatchTimeout is how long a watch may lag behind a peer's revision before it is
	// considered dead, about 60 response times of an idle store.
	staleWatchTimeout = 250 * time.Millisecond
	// expiryInterval is the time between two checks for expired instances.
	expiryInterval = 100 * time.Millisecond
)

// Run keeps the cache up to date from the store until ctx ends.
func (v *Cache) Run(ctx context.Context, src Source) {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = initialBackoff
	wait.MaxInterval = maxBackoff
	full := !v.awaitPeers(ctx)
	more := false
	for ctx.Err() == nil {
		if !full && !more {
			v.awaitTurn(ctx)
		}
		c, err := v.next(ctx, src, full)
		more = err == nil && c.More
		if more {
			v.StoreUp()
			v.Apply(c)
			continue
		}
		if err == nil {
			v.StoreUp()
			if v.Apply(c) && c.Beyond <= c.Rev {
				v.confirmAsOf(c.AsOf)
			}
			v.startExpiry()
			wait.Reset()
			full = false
			if c.Beyond <= c.Rev {
				retry.Sleep(ctx, v.watchDelay())
			}
			continue
		}
		var compacted *store.CompactedError
		if errors.As(err, &compacted) {
			v.log.Info("store history compacted, reloading the full state", "after", compacted.After)
			full = true
			continue
		}
		var restored *store.RestoredError
		if errors.As(err, &restored) {
			v.Notice(store.Revision(restored.Era, 0), 0, Origin{Via: ViaWatch})
			v.log.Info("store was restored, reloading the full state", "error", err)
			full = true
			continue
		}
		var tooLarge *store.TooLargeError
		if errors.As(err, &tooLarge) && !full {
			v.log.Warn("events of the store are too large, reloading the full state", "error", err)
			full = true
			continue
		}
		if errors.Is(err, errWatchStale) {
			continue
		}
		v.StoreDown()
		v.log.Warn("reading from the store failed", "error", err)
		retry.Sleep(ctx, v.retryDelay(wait.NextBackOff()))
	}
}

var errWatchStale = errors.New("watch lags behind a revision received from a peer")

// next waits for one change. It cancels a watch that lags behind a peer's revision for longer than
// staleWatchTimeout.
func (v *Cache) next(ctx context.Context, src Source, full bool) (Change, error) {
	if full {
		return src.Load(ctx)
	}
	after := v.Now().Rev
	watchCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go v.cancelStaleWatch(watchCtx, cancel, after)
	c, err := src.Follow(watchCtx, after, v.watchTimeout())
	if err != nil && errors.Is(context.Cause(watchCtx), errWatchStale) {
		return c, errWatchStale
	}
	return c, err
}

// watchTimeout returns how long the store holds the next watch. Watches on which others depend are
// renewed sooner, because others need to know that nothing has changed.
func (v *Cache) watchTimeout() time.Duration {
	switch r := v.role(); {
	case r.alone:
	case r.watches:
		return v.share(watchShare)
	default:
		return v.share(staleShare)
	}
	return minWatchTimeout + v.stagger(maxWatchTimeout-minWatchTimeout)
}

// watchDelay returns the pause between a change and the next watch.
func (v *Cache) watchDelay() time.Duration {
	members := time.Duration(len(v.Now().Members))
	return baseWatchDelay + v.stagger(min(members*watchDelayPerMember, maxExtraWatchDelay))
}

// stagger returns this entry's share of span, given by its index among the entries that watch, or
// among all if it isn't one of them, rotated by the revision.
func (v *Cache) stagger(span time.Duration) time.Duration {
	r := v.role()
	return time.Duration((int64(r.index)+v.Now().Rev)%int64(r.count)) * span / time.Duration(r.count)
}

// memberIndex returns the index of name in the sorted member names and the number of members, or 0
// and 1 if name isn't a member yet.
func memberIndex(s *Snapshot, name string) (index, count int) {
	if _, member := s.Members[name]; !member {
		return 0, 1
	}
	for other := range s.Members {
		if other < name {
			index++
		}
	}
	return index, len(s.Members)
}

func (v *Cache) cancelStaleWatch(ctx context.Context, cancel context.CancelCauseFunc, after int64) {
	for {
		changed := v.Changed()
		if v.Now().Rev > after {
			break
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
	retry.Sleep(ctx, staleWatchTimeout)
	cancel(errWatchStale)
}

// hasExpiry reports whether there is anything that ExpireLapsed ends later.
func (v *Cache) hasExpiry() bool {
	return v.instances.HasLapsed() || !v.carry.until.IsZero()
}

// startExpiry starts a goroutine that calls ExpireLapsed until nothing is left to end, unless it is
// already running.
func (v *Cache) startExpiry() {
	v.mu.Lock()
	start := v.hasExpiry() && !v.expiring
	v.expiring = v.expiring || start
	v.mu.Unlock()
	if !start {
		return
	}
	go func() {
		for waiting := true; waiting; {
			v.clock.Sleep(expiryInterval)
			v.ExpireLapsed()
			v.mu.Lock()
			waiting = v.hasExpiry()
			v.expiring = waiting
			v.mu.Unlock()
		}
	}()
}
