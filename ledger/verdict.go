package ledger

import "geraniumpass/core"

// Verdict is the ledger's answer to an offer.
type Verdict struct {
	Action Action
	// Holder is the attempt that holds the claim, for ActionAttach.
	Holder Key
	// Outcome and Reason are set for ActionRefuse.
	Outcome core.Outcome
	Reason  core.Reason
}

// Action is what the agent does with an offered dispatch.
type Action uint8

// The actions of a verdict.
const (
	// ActionQueue puts the attempt in the queue.
	ActionQueue Action = iota + 1
	// ActionAttach gives the attempt the answer of the one that holds its claim.
	ActionAttach
	// ActionRefuse answers with a refusal.
	ActionRefuse
	// ActionIgnore drops a repeated frame of an attempt that is already known.
	ActionIgnore
)
