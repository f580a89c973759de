package crash

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/hashicorp/go-hclog"
	"github.com/zeebo/errs/v2"

	"geraniumpass/retry"
	"geraniumpass/store"
)

const (
	// writeEvery is the least time between two writes, however many instances end: one that ends takes several requests with it.
	writeEvery = 500 * time.Millisecond
	// retryFirst and retryLongest bound the wait between two calls to a store that fails.
	retryFirst   = 100 * time.Millisecond
	retryLongest = time.Second
)

// Writer is what a Keeper uses of the store.
type Writer interface {
	Swap(ctx context.Context, key string, data []byte, modified int64, lease store.Lease) (store.Value, error)
	Grant(ctx context.Context, ttl time.Duration) (store.Lease, error)
}

// Keeper writes what this process states of ends into the store: an entry that starts anew, or that can't be reached from here, learns it there.
type Keeper struct {
	Registry *Registry
	Store    Writer
	// Key is this process's own.
	Key string
	Log hclog.Logger

	// modified is the revision of the key's value.
	modified int64
}

// Run writes until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = retryFirst
	wait.MaxInterval = retryLongest
	for ctx.Err() == nil {
		stated := k.Registry.Stated()
		if own := k.Registry.Own(); len(own) > 0 {
			if err := k.write(ctx, own); err != nil {
				k.Log.Warn("ends of instances not in the store yet", "error", err)
				retry.Pause(ctx, wait.NextBackOff())
				continue
			}
			wait.Reset()
			retry.Pause(ctx, writeEvery)
		}
		select {
		case <-ctx.Done():
		case <-stated:
		}
	}
}

// write replaces the key's value, which goes by itself once it was not written anew for Kept.
func (k *Keeper) write(ctx context.Context, own []End) error {
	data, err := json.Marshal(own)
	if err != nil {
		return errs.Wrap(err)
	}
	lease, err := k.Store.Grant(ctx, Kept)
	if err != nil {
		return err
	}
	v, err := k.Store.Swap(ctx, k.Key, data, k.modified, lease)
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		return k.adopt(conflict.Current)
	}
	if err != nil {
		return err
	}
	k.modified = v.Modified
	return nil
}

// adopt takes what an earlier life of this process has left under the key, to be written again with what is new; the returned error is that
// the write has not been done.
func (k *Keeper) adopt(v store.Value) error {
	k.modified = v.Modified
	if v.Modified == 0 {
		return &StaleError{Key: k.Key}
	}
	ends, err := Decode(v.Data)
	if err != nil {
		return err
	}
	k.Registry.Adopt(ends)
	return &StaleError{Key: k.Key}
}

// Decode reads a value that a Keeper has written.
func Decode(data []byte) ([]End, error) {
	var ends []End
	if err := json.Unmarshal(data, &ends); err != nil {
		return nil, errs.Wrap(err)
	}
	return ends, nil
}
