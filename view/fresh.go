package view

import (
	"context"
	"time"

	"geraniumpass/retry"
)

const (
	// defaultBound is the time within which changes are in force everywhere if none is set.
	defaultBound = 2 * time.Second
	// An entry that doesn't watch the store calls it by itself once its state wasn't confirmed for
	// staleShare of the bound. Watchers renew their watches within watchShare of it, and polls
	// are held for holdShare at most, so that the state is confirmed in time over a watcher and a relay
	// while they work.
	staleShare = 0.7
	watchShare = 0.3
	holdShare  = 0.12
	// minStaleCheck is the shortest pause between two checks whether the state is still confirmed.
	minStaleCheck = 20 * time.Millisecond
)

// SetBound sets the time within which changes must be in force in this entry. It must be called
// before Run.
func (v *Cache) SetBound(d time.Duration) {
	v.bound = d
}

// PollHold returns how long a peer may hold this entry's polls, at most the given time.
func (v *Cache) PollHold(most time.Duration) time.Duration {
	if v.role().watches {
		return most
	}
	return min(most, v.share(holdShare))
}

func (v *Cache) share(s float64) time.Duration {
	return time.Duration(s * float64(v.bound))
}

// SetPeerWait sets how long this entry waits at its start for a state from a peer before it reads the
// whole state from the store. It must be called before Run.
func (v *Cache) SetPeerWait(d time.Duration) {
	v.peerWait = d
}

// awaitPeers reports whether a peer has provided a state within the time to wait for one.
func (v *Cache) awaitPeers(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, v.peerWait)
	defer cancel()
	for {
		changed := v.Changed()
		if s := v.Now(); s.Rev > 0 && s.Table != nil {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-changed:
		}
	}
}

// Confirm records that this entry's state was the store's at a time, because an entry had the given
// revision and table version confirmed then, and this one has both.
func (v *Cache) Confirm(rev, table int64, at time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.rev < rev || v.tableVersion() < table || !at.After(v.confirmedAt) {
		return
	}
	v.confirmedAt = at
	v.instances.BoundLapsed(v.clock.Now())
}

// tableVersion returns the version of the active table, zero if there is none.
func (v *Cache) tableVersion() int64 {
	if v.table == nil {
		return 0
	}
	return v.table.Version
}

// Unconfirmed returns how long ago the state was last known to be the store's. ok is false if it
// never was.
func (v *Cache) Unconfirmed() (age time.Duration, ok bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.clock.Since(v.confirmedAt), !v.confirmedAt.IsZero()
}

// confirmAsOf records that the state was the store's at a time, or is now if the time is zero.
func (v *Cache) confirmAsOf(at time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if at.IsZero() {
		at = v.clock.Now()
	}
	if at.After(v.confirmedAt) {
		v.confirmedAt = at
	}
}

// retryDelay returns the pause after a failed call to the store. Watchers notice its return, so the
// others call it less often.
func (v *Cache) retryDelay(backoff time.Duration) time.Duration {
	if v.role().watches {
		return backoff
	}
	return max(backoff, v.share(staleShare)/2+v.stagger(v.share(staleShare)))
}

// awaitTurn waits until this entry has to call the store: at once if it is a watcher, otherwise when
// its state hasn't been confirmed for too long. No failure of watchers or links can therefore keep a
// change from an entry that reaches the store.
func (v *Cache) awaitTurn(ctx context.Context) {
	stale := v.share(staleShare)
	for ctx.Err() == nil && !v.role().watches {
		age, ok := v.Unconfirmed()
		if !ok || age >= stale {
			return
		}
		retry.Sleep(ctx, max(stale-age, minStaleCheck))
	}
}
