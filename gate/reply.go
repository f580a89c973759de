package gate

import (
	"time"

	"geraniumpass/quota"
)

// Reply holds the metadata of an upstream's answer that its headers carry.
type Reply struct {
	// ID is the attempt that the answer belongs to, empty if unstated.
	ID string
	// Signed reports whether the answer carries an upstream's signature.
	Signed bool
	// NotExecuted reports whether the upstream guarantees that it did not run the request.
	NotExecuted bool
	// Running, Waiting and Slots are the upstream's load; Slots is zero if unstated.
	Running int
	Waiting int
	Slots   int
	// Idle is how long the upstream keeps the connection open, zero if unstated.
	Idle time.Duration
	// Leaving reports whether the upstream announces that it leaves.
	Leaving bool
	// Cooldown is how long this entry must send no requests to an upstream that refused this one,
	// zero if unstated.
	Cooldown time.Duration
	// Limit is the request rate that the upstream accepts from all entries together. LimitInvalid is
	// set if the advertised limit could not be parsed, which is not the same as no limit.
	Limit        quota.Limit
	LimitInvalid bool
	// Invalid is the error of the statements above that could not be parsed and were left out, nil
	// if none.
	Invalid error
}
