package ledger

import "time"

// Offer is what the ledger needs to know of a dispatch.
type Offer struct {
	Key         Key
	Incarnation uint64
	Idempotent  bool
	ClaimKey    string
	ClaimDigest uint64
	// ClaimFor is how long the claim must be remembered.
	ClaimFor time.Duration
}
