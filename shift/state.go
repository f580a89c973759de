package shift

// None stands for no step and no version.
const None = -1

// State is what a rank reports.
type State struct {
	// Born is when the rank's engine started, in Unix milliseconds, zero when it doesn't say.
	Born  int64
	Epoch int64
	// Open is false while the group is not whole.
	Open bool
	// Step is the last step begun.
	Step int64
	Map  int64
	// Prepared and Armed are versions, Held a step; None when there is none.
	Prepared  int64
	Armed     int64
	ArmedStep int64
	Held      int64
}
