package gate

import "time"

// Call holds the metadata of a request that its headers carry.
type Call struct {
	// ID identifies this attempt of the caller.
	ID string
	// Budget is how long the caller waits for the answer, zero if not given.
	Budget time.Duration
	Key    string
	// LastEvent is the last stream event that the caller received, negative if none.
	LastEvent int64
	// PromptTokens and MaxAnswerTokens are the tokens to read and the most to generate, zero if
	// unknown.
	PromptTokens    int
	MaxAnswerTokens int
	// Segments holds the IDs of the prompt segments that other requests may share: all but the last,
	// each once.
	Segments []string
	// LengthHint is the caller's estimate of the tokens to generate, zero if unknown.
	LengthHint int
}
