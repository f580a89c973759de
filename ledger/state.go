package ledger

// State is the state of an attempt; its value never decreases.
type State uint8

// States of an attempt.
const (
	StateQueued State = iota + 1
	StateRunning
	StateDone
	StateRefused
)
