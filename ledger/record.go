package ledger

// record is one attempt; starts counts how often it was put to the upstream.
type record struct {
	state      State
	starts     int
	idempotent bool
	claimKey   string
	attached   bool
}
