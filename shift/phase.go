package shift

// Phase is the progress of a leader's switch.
type Phase uint8

// The phases of a leader. From PhaseArm on a switch can only be completed.
const (
	PhaseAsk Phase = iota
	PhaseIdle
	PhasePrepare
	PhaseHold
	PhaseArm
	PhaseGo
	PhaseRelease
)

// String returns the name of the phase for logs.
func (p Phase) String() string {
	return [...]string{"ask", "idle", "prepare", "hold", "arm", "go", "release"}[p]
}
