package gate

import (
	"time"

	"geraniumpass/quota"
)

// Reply is what an upstream's answer says of itself beside its status and body.
type Reply struct {
	// ID is the attempt that the answer belongs to, empty when it doesn't say.
	ID string
	// Signed is true when the answer carries an upstream's receipt.
	Signed bool
	// NotRun is true when the upstream promises that it did not run the request.
	NotRun bool
	// Running, Waiting and Slots are the upstream's load; Slots is zero when it doesn't tell.
	Running int
	Waiting int
	Slots   int
	// Idle is how long the upstream keeps the connection open, zero when it doesn't say.
	Idle time.Duration
	// Leaving is true when the upstream says that it leaves.
	Leaving bool
	// Rest is for how long an upstream that refused the request wants none from this entry, zero when it doesn't say.
	Rest time.Duration
	// Limit is what the upstream takes from all entries together; LimitUnclear is true when that could not be understood, which is not the
	// same as none.
	Limit        quota.Limit
	LimitUnclear bool
	// Invalid says which of the statements above could not be understood and is left out, nil when all could.
	Invalid error
}
