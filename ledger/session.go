package ledger

import "time"

// session holds the attempts of one entry session. Attempts below floor are closed, and late
// dispatches for them are refused.
type session struct {
	floor    uint64
	records  map[uint64]*record
	lastSeen time.Time
}
