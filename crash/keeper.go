package crash

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/hashicorp/go-hclog"
	"github.com/zeebo/errs/v2"

	"geraniumpass/nest"
	"geraniumpass/retry"
	"geraniumpass/store"
)

const (
	// writeInterval is the minimum time between two writes. It batches the records of the several
	// requests that an instance is usually running when it terminates.
	writeInterval = 500 * time.Millisecond
	// initialBackoff and maxBackoff bound the backoff between calls to a failing store.
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = time.Second
)

// Writer is the part of the store that a Publisher uses.
type Writer interface {
	Swap(ctx context.Context, key string, data []byte, modified int64, lease store.Lease) (store.Value, error)
	Grant(ctx context.Context, ttl time.Duration) (store.Lease, error)
}

// Publisher writes the terminations recorded by this process to the store, from which entries that
// have restarted or can't be reached from here read them.
type Publisher struct {
	Registry *Registry
	Store    Writer
	// Key is the store key reserved for this process.
	Key string
	// Lost tells that the store may have lost what was written to it; if nil, it never does.
	Lost <-chan struct{}
	Log  hclog.Logger

	// modified is the revision of the key's value.
	modified int64
}

// Run publishes changes until ctx ends.
func (p *Publisher) Run(ctx context.Context) {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = initialBackoff
	wait.MaxInterval = maxBackoff
	for ctx.Err() == nil {
		changed := p.Registry.LocalChanged()
		if local := p.Registry.Local(); len(local) > 0 {
			if err := p.write(ctx, local); err != nil {
				p.Log.Warn("writing instance terminations to the store failed", "error", err)
				retry.Sleep(ctx, wait.NextBackOff())
				continue
			}
			wait.Reset()
			retry.Sleep(ctx, writeInterval)
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-p.Lost:
		}
	}
}

// write replaces the key's value under a lease that expires after Retention unless the value is
// written again.
func (p *Publisher) write(ctx context.Context, local []Termination) error {
	data, err := json.Marshal(local)
	if err != nil {
		return errs.Wrap(err)
	}
	lease, err := p.Store.Grant(ctx, Retention)
	if err != nil {
		return err
	}
	v, err := p.Store.Swap(ctx, p.Key, data, p.modified, lease)
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		return p.mergeCurrent(conflict.Current)
	}
	if err != nil {
		return err
	}
	p.modified = v.Modified
	return nil
}

// mergeCurrent restores the terminations that a previous run of this process left under the key, so
// that the next write includes them. It always returns an error, because the write hasn't been
// done.
func (p *Publisher) mergeCurrent(v store.Value) error {
	p.modified = v.Modified
	if v.Modified == 0 {
		return &StaleError{Key: p.Key}
	}
	terminations, err := Decode(v.Data)
	if err != nil {
		return err
	}
	p.Registry.Restore(terminations)
	return &StaleError{Key: p.Key}
}

// Decode parses a value written by a Publisher.
func Decode(data []byte) ([]Termination, error) {
	var terminations []Termination
	if err := nest.UnmarshalList(data, maxPublished, &terminations); err != nil {
		return nil, errs.Wrap(err)
	}
	return terminations, nil
}
