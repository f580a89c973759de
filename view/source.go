package view

import (
	"context"
	"time"
)

// Source is the part of the platform's store that a Cache uses.
type Source interface {
	// Load reads the full state and returns a *store.DownError if the store is unreachable, or a
	// *store.RestoredError if it was restored from a copy meanwhile. After a change with More it must be called
	// again.
	Load(ctx context.Context) (Change, error)
	// Follow returns the changes after a revision, waiting up to wait for one. It returns a
	// *store.DownError, a *store.CompactedError or a *store.RestoredError on failure. After a change with More
	// it must be called again with the same revision.
	Follow(ctx context.Context, after int64, wait time.Duration) (Change, error)
}
