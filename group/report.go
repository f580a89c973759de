package group

import "geraniumpass/shift"

// Report is the state of an engine.
type Report struct {
	shift.State
	// Group is empty while the engine belongs to no group.
	Group string
	Rank  int
	Size  int
	// Copying reports whether the experts of a new map are being loaded.
	Copying bool
	Running int
	Waiting int
	// Pace is the ratio of the engine's step time to its usual step time.
	Pace float64
}
