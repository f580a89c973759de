package ledger

// State is where an attempt stands; it only moves forward.
type State uint8

// The states of an attempt.
const (
	StateQueued State = iota + 1
	StateRunning
	StateDone
	StateRefused
)
