package pool

// Target identifies an instance's process by address and start time. Connections to an earlier
// process, which may have ended unnoticed, are never used for a later one.
type Target struct {
	Address string
	// Born is when the process started, in Unix milliseconds, zero if unknown.
	Born int64
}
