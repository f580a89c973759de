package pool

// Target identifies an instance's process by address and start time. Connections to an earlier
// process, which may have terminated unnoticed, are never used for a later one.
type Target struct {
	Address string
	// StartedAt is when the process started, in Unix milliseconds, zero if unknown.
	StartedAt int64
}
