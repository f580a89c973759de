package group

import "fmt"

// StaleStartError means that a report comes from an earlier start of the engine than the newest one
// known. Known and Got are the start times in Unix milliseconds.
type StaleStartError struct {
	Known int64
	Got   int64
}

// Error returns a message with both start times.
func (e *StaleStartError) Error() string {
	return fmt.Sprintf("stale report from the engine started at %d (Unix ms), engine restarted at %d", e.Got, e.Known)
}
