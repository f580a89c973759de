package gate

import (
	"time"

	"geraniumpass/quota"
)

// Reply holds the metadata of an upstream's answer that its headers carry.
type Reply struct {
	// ID is the attempt that the answer belongs to, empty if missing.
	ID string
	// Signed reports whether the answer carries an upstream's signature.
	Signed bool
	// NotExecuted reports whether the upstream guarantees that it did not run the request.
	NotExecuted bool
	// Running, Waiting and Slots are the upstream's load; Slots is zero if not reported.
	Running int
	Waiting int
	Slots   int
	// Idle is how long the upstream keeps the connection open, zero if not advertised.
	Idle time.Duration
	// Leaving reports whether the upstream announces that it leaves.
	Leaving bool
	// Cooldown is how long this entry must send no requests to an upstream that refused this one,
	// zero if none was requested.
	Cooldown time.Duration
	// Limit is the request rate that the upstream accepts from all entries together. LimitInvalid is
	// set if the advertised limit could not be parsed, which is not the same as no limit.
	Limit        quota.Limit
	LimitInvalid bool
	// Invalid is the parse error of the headers that were ignored as invalid, nil if none.
	Invalid error
}
