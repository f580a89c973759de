package ledger

import "geraniumpass/core"

// Verdict is the ledger's decision on an offer.
type Verdict struct {
	Action Action
	// Holder is the attempt that holds the claim, set for ActionAttach.
	Holder Key
	// Outcome and Reason are set for ActionRefuse.
	Outcome core.Outcome
	Reason  core.Reason
}

// Action is the agent's required handling of an offered dispatch.
type Action uint8

// Actions of a verdict.
const (
	// ActionQueue queues the attempt.
	ActionQueue Action = iota + 1
	// ActionAttach sends the attempt the answer of the attempt that holds its claim.
	ActionAttach
	// ActionRefuse sends a refusal.
	ActionRefuse
	// ActionIgnore drops a duplicate frame of a recorded attempt.
	ActionIgnore
)
