package store

import "fmt"

// ConflictError reports that a swap had no effect because the key was modified; Current is its
// present value.
type ConflictError struct {
	Key     string
	Current Value
}

// Error returns a message with the key and its revision.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("key %s is at revision %d", e.Key, e.Current.Modified)
}

// DownError reports that a call had no effect because the service was unreachable.
type DownError struct {
	Cause error
}

// Error returns a message with the cause.
func (e *DownError) Error() string {
	return "key-value service can't be reached: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *DownError) Unwrap() error {
	return e.Cause
}

// UnknownOutcomeError reports that a write was sent but not answered, so it may have taken effect
// or may still do so.
type UnknownOutcomeError struct {
	Cause error
}

// Error returns a message with the cause.
func (e *UnknownOutcomeError) Error() string {
	return "key-value service did not answer a write: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error {
	return e.Cause
}

// LeaseError reports that a lease has expired or been revoked.
type LeaseError struct {
	Lease Lease
}

// Error returns a message with the lease.
func (e *LeaseError) Error() string {
	return fmt.Sprintf("lease %d has expired or been revoked", e.Lease)
}
