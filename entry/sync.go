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
	// pollEvery is how soon a watch that died without a word is found out.
	pollEvery   = 4 * time.Second
	syncFirst   = 100 * time.Millisecond
	syncLongest = 2 * time.Second
)

// syncConfig keeps the newest accepted configuration here: by a watch, and by a slow poll that finds a silent watch out.
func (e *Entry) syncConfig(ctx context.Context) {
	e.loops.Go(func() { e.watchConfig(ctx) })
	t := e.clock.NewTicker(pollEvery)
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

// pollConfig asks for the document's revision only: the document itself every few seconds would exceed an entry's traffic.
func (e *Entry) pollConfig(ctx context.Context) {
	v, err := e.store.Peek(ctx, configKey)
	if err != nil {
		return
	}
	if v.Modified == e.seen.Load() {
		e.config.Confirm()
		return
	}
	_, _ = e.readConfig(ctx)
}

func (e *Entry) watchConfig(ctx context.Context) {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = syncFirst
	wait.MaxInterval = syncLongest
	for ctx.Err() == nil {
		v, err := e.readConfig(ctx)
		if err == nil {
			wait.Reset()
			err = e.store.Watch(ctx, configKey, v.Modified, func(v store.Value) { e.takeConfig(v) })
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
		e.takeConfig(v)
	}
	return v, err
}

// takeConfig offers what the service holds; an event that comes late is older than what is held and changes nothing.
func (e *Entry) takeConfig(v store.Value) {
	if v.Modified == 0 {
		return
	}
	doc := &config.Document{}
	if err := json.Unmarshal(v.Data, doc); err != nil {
		e.log.Error("configuration not readable", "error", err)
		return
	}
	e.seen.Store(max(e.seen.Load(), v.Modified))
	if e.config.Offer(doc) {
		e.log.Info("configuration in force", "revision", doc.Revision)
	}
	if doc.Revision >= e.config.Document().Revision {
		e.config.Confirm()
	}
}
