package admit

import "time"

// Demand is what is known of a request for engines before it is sent. Sizes that are missing,
// negative or beyond what any engine holds count as usual ones.
type Demand struct {
	Class string
	// ClassRank is the priority of the route, zero being the highest; AccountRank replaces it if set.
	ClassRank   int
	AccountRank *int
	Account     string
	// PromptTokens, MaxAnswerTokens and LengthHint are numbers of tokens, zero or negative if unknown.
	PromptTokens    int
	MaxAnswerTokens int
	LengthHint      int
	// Aim and Gap are the targets of the class: the time to the first event, and the longest pause
	// between events, zero if there is none.
	Aim time.Duration
	Gap time.Duration
	// Spent is the time since the caller's first attempt, Remaining the time that it still waits.
	Spent     time.Duration
	Remaining time.Duration
	// Returned reports whether the request was refused before.
	Returned bool
}

// rank returns the priority of the request, that of its account before that of its route.
func (d *Demand) rank() int {
	rank := d.ClassRank
	if d.AccountRank != nil {
		rank = *d.AccountRank
	}
	return min(max(rank, 0), maxRank)
}

// late reports whether the request can't meet its target any more.
func (d *Demand) late() bool {
	return d.Aim > 0 && d.Spent > d.Aim
}

// Decision is the answer to a Demand.
type Decision struct {
	Admit bool
	// Reason is one of the Reason constants.
	Reason string
	// RetryAfter is when a refused caller should come back, zero if that would be too late for it.
	RetryAfter time.Duration
	// Urgency is the priority for the engine, from 0, the first, to 9; DefaultUrgency need not be sent.
	Urgency int
}

// The reasons of a Decision.
const (
	// ReasonRoom means that the groups have room.
	ReasonRoom = "room"
	// ReasonTurn means that room is short and the request has its turn.
	ReasonTurn = "turn"
	// ReasonUnknown means that nothing is known of the groups, or that none of them is usable.
	ReasonUnknown = "unknown"
	// ReasonFull means that room is short and others go first.
	ReasonFull = "full"
)
