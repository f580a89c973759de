package epmap

// Phase is where a leader stands.
type Phase uint8

// The phases of a leader.
const (
	// PhaseInquire asks every rank what it holds; nothing else is done before all have answered.
	PhaseInquire Phase = iota + 1
	// PhaseConfirm asks every rank once more before promises are taken back: an agent that was restarted between its answer
	// and the last rank's has forgotten the fence, and an older leader may have gone on there.
	PhaseConfirm
	// PhaseSteady means that no switch is under way.
	PhaseSteady
	// PhaseStage has every rank load the experts that it lacks.
	PhaseStage
	// PhaseCap has every rank promise to wait at the step of the switch.
	PhaseCap
	// PhaseUncap takes the promises back; it follows a cap that not every rank gave.
	PhaseUncap
	// PhaseGrant tells every rank the map of the step; from here there is only forward.
	PhaseGrant
	// PhaseDeposed means that a rank has seen a higher fence; this leader does nothing any more.
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
