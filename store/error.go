package store

import "fmt"

// ConflictError says that a swap did not take effect because the key had changed; Current is what it holds.
type ConflictError struct {
	Key     string
	Current Value
}

// Error names the key and its revision.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("key %s is at revision %d", e.Key, e.Current.Modified)
}

// DownError says that a call had no effect because the service could not be reached.
type DownError struct {
	Cause error
}

// Error returns the cause.
func (e *DownError) Error() string {
	return "key-value service can't be reached: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *DownError) Unwrap() error {
	return e.Cause
}

// UnsureError says that a write was sent but not answered, so that it may have taken effect or may still do so.
type UnsureError struct {
	Cause error
}

// Error returns the cause.
func (e *UnsureError) Error() string {
	return "key-value service did not answer a write: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *UnsureError) Unwrap() error {
	return e.Cause
}

// LeaseError says that a lease has ended.
type LeaseError struct {
	Lease Lease
}

// Error names the lease.
func (e *LeaseError) Error() string {
	return fmt.Sprintf("lease %d has ended", e.Lease)
}
