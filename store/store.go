package store

import (
	"context"
	"time"
)

// Lease is a lease ID; zero means no lease.
type Lease int64

// Value is a key's content with its creation and last modification revisions; Modified is zero if
// the key doesn't exist.
type Value struct {
	Data     []byte
	Created  int64
	Modified int64
	// Era is the store's era when it returned the value.
	Era int64
}

// Store is the part of the platform's key-value service that this system uses.
type Store interface {
	// Get reads a key and returns a *DownError if the service is unreachable.
	Get(ctx context.Context, key string) (Value, error)
	// Peek reads a key's revisions without its content and returns a *DownError if the service is
	// unreachable.
	Peek(ctx context.Context, key string) (Value, error)
	// Swap writes a key if its revision still equals modified. Created is set only in the result
	// for a new key. It returns a *ConflictError, a *DownError or an *UnknownOutcomeError on
	// failure.
	Swap(ctx context.Context, key string, data []byte, modified int64, lease Lease) (Value, error)
	// Watch calls fn with every later value of a key until ctx ends or the connection is lost.
	Watch(ctx context.Context, key string, after int64, fn func(Value)) error
	// Grant creates a lease that expires after ttl unless it is kept alive.
	Grant(ctx context.Context, ttl time.Duration) (Lease, error)
	// KeepAlive renews a lease and returns a *LeaseError if it has expired.
	KeepAlive(ctx context.Context, lease Lease) error
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, lease Lease) error
}
