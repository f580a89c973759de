package ledger

import "time"

// Offer holds the fields of a dispatch that the ledger needs.
type Offer struct {
	Key         Key
	Incarnation uint64
	Idempotent  bool
	ClaimKey    string
	ClaimDigest uint64
	// ClaimRetention is how long the claim must be kept.
	ClaimRetention time.Duration
}
