package shift

// Phase is how far a leader's switch has come.
type Phase uint8

// The phases of a leader; from PhaseArm on there is only forward.
const (
	PhaseAsk Phase = iota
	PhaseIdle
	PhasePrepare
	PhaseHold
	PhaseArm
	PhaseGo
	PhaseRelease
)

// String returns the phase as logs show it.
func (p Phase) String() string {
	return [...]string{"ask", "idle", "prepare", "hold", "arm", "go", "release"}[p]
}
