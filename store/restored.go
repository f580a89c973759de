package store

import "fmt"

// RestoredError reports that the service was restored from a copy since a revision was known, so that
// the revision says nothing about its content and a full read is required.
type RestoredError struct {
	// Known is the revision known from before, Era the present era.
	Known int64
	Era   int64
}

// Error returns a message with the eras.
func (e *RestoredError) Error() string {
	return fmt.Sprintf("key-value service was restored from a copy: revision %d of era %d is known, present era %d", NumberOf(e.Known), EraOf(e.Known), e.Era)
}
