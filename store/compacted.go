package store

import "fmt"

// CompactedError reports that the history after a revision has been compacted, so that a full read
// is required.
type CompactedError struct {
	After int64
}

// Error returns a message with the revision.
func (e *CompactedError) Error() string {
	return fmt.Sprintf("history after revision %d has been compacted", e.After)
}
