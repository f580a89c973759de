package shift

// None means no step or no version.
const None = -1

// State is the state that a rank reports.
type State struct {
	// EngineStart is when the rank's engine started, in Unix milliseconds, or zero if unknown.
	EngineStart int64
	Epoch       int64
	// Open is false while the group is incomplete.
	Open bool
	// Step is the last step begun.
	Step int64
	Map  int64
	// Prepared and Armed are map versions, Held is a step; each is None if there is none.
	Prepared  int64
	Armed     int64
	ArmedStep int64
	Held      int64
}
