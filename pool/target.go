package pool

// Target is what connections go to: an address, and the start of the process that listens there. Connections to an earlier start, which may
// have ended without a word, are never used for a later one.
type Target struct {
	Address string
	// Born is when the process started, in Unix milliseconds, zero when unknown.
	Born int64
}
