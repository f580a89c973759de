package ledger

import "time"

// claim is a non-idempotent request with a caller's key; once it ran, or was refused here, that stays so.
type claim struct {
	digest  uint64
	holder  Key
	ran     bool
	refused bool
	expires time.Time
}
