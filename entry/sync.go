package entry

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cenkalti/backoff/v5"

	"geraniumpass/config"
	"geraniumpass/store"
)

const (
	configKey = "geraniumpass/config"
	// configPollInterval bounds how long a silently broken watch goes undetected.
	configPollInterval = 4 * time.Second
	minWatchBackoff    = 100 * time.Millisecond
	maxWatchBackoff    = 2 * time.Second
)

// syncConfig keeps the configuration up to date by a watch, with a slow poll to detect a silently
// broken watch.
func (e *Entry) syncConfig(ctx context.Context) {
	e.background.Go(func() { e.watchConfig(ctx) })
	t := e.clock.NewTicker(configPollInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.Chan():
			e.pollConfig(ctx)
		}
	}
}

// pollConfig reads only the document's revision: reading the document at every poll would exceed an
// entry's traffic budget.
func (e *Entry) pollConfig(ctx context.Context) {
	v, err := e.store.Peek(ctx, configKey)
	if err != nil {
		return
	}
	if v.Modified == e.configModRevision.Load() {
		e.config.Confirm()
		return
	}
	_, _ = e.readConfig(ctx)
}

func (e *Entry) watchConfig(ctx context.Context) {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = minWatchBackoff
	wait.MaxInterval = maxWatchBackoff
	for ctx.Err() == nil {
		v, err := e.readConfig(ctx)
		if err == nil {
			wait.Reset()
			err = e.store.Watch(ctx, configKey, v.Modified, func(v store.Value) { e.applyConfig(v) })
		}
		e.log.Debug("configuration watch ended", "error", err)
		select {
		case <-ctx.Done():
		case <-e.clock.After(wait.NextBackOff()):
		}
	}
}

func (e *Entry) readConfig(ctx context.Context) (store.Value, error) {
	v, err := e.store.Get(ctx, configKey)
	if err == nil {
		e.applyConfig(v)
	}
	return v, err
}

// applyConfig offers a stored document to the holder, which ignores documents older than its own,
// such as delayed watch events.
func (e *Entry) applyConfig(v store.Value) {
	if v.Modified == 0 {
		return
	}
	doc := &config.Document{}
	if err := json.Unmarshal(v.Data, doc); err != nil {
		e.log.Error("failed to decode configuration", "error", err)
		return
	}
	e.configModRevision.Store(max(e.configModRevision.Load(), v.Modified))
	if e.config.Offer(doc) {
		e.log.Info("configuration applied", "revision", doc.Revision)
	}
	if doc.Revision >= e.config.Document().Revision {
		e.config.Confirm()
	}
}
