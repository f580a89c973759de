package ledger

import "time"

// session holds one entry's attempts; all below floor are settled and refused when they come late.
type session struct {
	floor   uint64
	records map[uint64]*record
	seen    time.Time
}
