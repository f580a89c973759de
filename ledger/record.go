package ledger

// record is the state of one attempt; starts counts how often it was sent to the upstream.
type record struct {
	state      State
	starts     int
	idempotent bool
	claimKey   string
	attached   bool
}
