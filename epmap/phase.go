package epmap

// Phase is the state of a leader.
type Phase uint8

// Phases of a leader.
const (
	// PhaseInquire requests the state of every rank. Nothing else happens before all have answered.
	PhaseInquire Phase = iota + 1
	// PhaseConfirm repeats the inquiry before caps are removed. An agent that restarted between its
	// answer and the last rank's has lost its fence, so an older leader may have continued there.
	PhaseConfirm
	// PhaseSteady means that no switch is in progress.
	PhaseSteady
	// PhaseStage has every rank load the experts it lacks.
	PhaseStage
	// PhaseCap has every rank promise to wait at the step of the switch.
	PhaseCap
	// PhaseUncap removes the caps after a cap order that not every rank accepted.
	PhaseUncap
	// PhaseGrant sends every rank the map version for the step. From here the switch can no longer
	// be aborted.
	PhaseGrant
	// PhaseDeposed means that a rank has seen a higher fencing token. This leader takes no further
	// action.
	PhaseDeposed
)

var phaseNames = map[Phase]string{
	PhaseInquire: "inquire",
	PhaseConfirm: "confirm",
	PhaseSteady:  "steady",
	PhaseStage:   "stage",
	PhaseCap:     "cap",
	PhaseUncap:   "uncap",
	PhaseGrant:   "grant",
	PhaseDeposed: "deposed",
}

// String returns the phase's name.
func (p Phase) String() string {
	return phaseNames[p]
}
