package proto

import (
	"time"

	"geraniumpass/core"
)

// Cancel cancels an attempt; the agent answers with Refused if the attempt has not run.
type Cancel struct {
	N uint64 `cbor:"1,keyasint"`
}

// Refused reports that an attempt did not run and never will or, with OutcomeUnknown, that the
// agent cannot determine whether it ran.
type Refused struct {
	N          uint64        `cbor:"1,keyasint"`
	Outcome    core.Outcome  `cbor:"2,keyasint"`
	Reason     core.Reason   `cbor:"3,keyasint"`
	RetryAfter time.Duration `cbor:"4,keyasint,omitempty"`
	// ClaimClosed guarantees that the attempt's claim will never run at this agent, so it may move
	// to another.
	ClaimClosed bool `cbor:"5,keyasint,omitempty"`
}
