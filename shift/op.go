package shift

// Op is the kind of an order from a leader to a guard.
type Op uint8

// The orders of a switch.
const (
	// OpAsk queries the rank's state and sets the fence.
	OpAsk Op = iota + 1
	// OpPrepare loads the experts of a new map.
	OpPrepare
	// OpHold keeps an upcoming step, chosen by the guard, from beginning.
	OpHold
	// OpArm switches to the prepared map when the held step begins.
	OpArm
	// OpGo releases the hold of a step.
	OpGo
	// OpRelease releases any hold, for a switch that was abandoned.
	OpRelease
)

// String returns the name of the order for logs.
func (o Op) String() string {
	names := [...]string{"none", "ask", "prepare", "hold", "arm", "go", "release"}
	if int(o) < len(names) {
		return names[o]
	}
	return "unknown"
}
