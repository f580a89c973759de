package plan

import "time"

// Engine describes the instances of a model service.
type Engine struct {
	// Slots is how many requests one instance runs concurrently.
	Slots int
	// StepMs and SequenceMs make up the duration of one token step in milliseconds: a fixed part
	// and a part for each running request.
	StepMs     float64
	SequenceMs float64
	// StepTokens is how many token steps are executed together before the next event of a stream, zero
	// if unknown.
	StepTokens int
	// ReadPerSecond is the prefill rate in prompt tokens per second.
	ReadPerSecond float64
	// Sets, Experts and Places describe expert maps: the number of sets of layers, of experts in
	// each, and of expert slots on a rank for each set.
	Sets    int
	Experts int
	Places  int
	// Spare is how many experts of a set one rank may load for a new map.
	Spare int
	// CopyTime is how long a rank takes to load one expert, or zero if unknown.
	CopyTime time.Duration
	// Prompt and Answer are the usual numbers of prompt and output tokens.
	Prompt float64
	Answer float64
}
