package ledger

import "time"

// claim is a non-idempotent request with a caller's idempotency key. A claim that ran or was
// refused here never runs again here.
type claim struct {
	digest  uint64
	holder  Key
	ran     bool
	refused bool
	expires time.Time
}
