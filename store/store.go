package store

import (
	"context"
	"time"
)

// Lease is the number of a lease; zero means none.
type Lease int64

// Value is a key's content with the revision that created it and the one that changed it last; Modified is zero when the key is absent.
type Value struct {
	Data     []byte
	Created  int64
	Modified int64
}

// Store is what this system uses of the platform's key-value service.
type Store interface {
	// Get reads a key and fails with a *DownError.
	Get(ctx context.Context, key string) (Value, error)
	// Peek reads a key's revisions without its content and fails with a *DownError.
	Peek(ctx context.Context, key string) (Value, error)
	// Swap writes a key if its Modified still is modified, returns Created only for a new key, and fails with a *ConflictError, a *DownError or an *UnsureError.
	Swap(ctx context.Context, key string, data []byte, modified int64, lease Lease) (Value, error)
	// Watch calls fn with every later value of a key until ctx ends or the connection is lost.
	Watch(ctx context.Context, key string, after int64, fn func(Value)) error
	// Grant opens a lease that ends after ttl unless it is kept.
	Grant(ctx context.Context, ttl time.Duration) (Lease, error)
	// Keep renews a lease and fails with a *LeaseError when it has ended.
	Keep(ctx context.Context, lease Lease) error
	// Revoke ends a lease and removes its keys.
	Revoke(ctx context.Context, lease Lease) error
}
