package proto

import (
	"time"

	"geraniumpass/core"
)

// Cancel gives up an attempt; the agent answers with Refused when it had not run.
type Cancel struct {
	N uint64 `cbor:"1,keyasint"`
}

// Refused says of an attempt that it did not run and will not, or, with OutcomeUnknown, that the agent cannot tell.
type Refused struct {
	N          uint64        `cbor:"1,keyasint"`
	Outcome    core.Outcome  `cbor:"2,keyasint"`
	Reason     core.Reason   `cbor:"3,keyasint"`
	RetryAfter time.Duration `cbor:"4,keyasint,omitempty"`
	// ClaimClosed promises that the attempt's claim will never run here, so that it may be moved.
	ClaimClosed bool `cbor:"5,keyasint,omitempty"`
}
