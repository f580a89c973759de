package shift

// Leader is a state machine that decides which orders the ranks of one group get; its only inputs
// are the ranks' reports and answers.
type Leader struct {
	Fence int64
	Phase Phase
	Epoch int64
	// Version and Step belong to the current switch.
	Version int64
	Step    int64
	// Ahead is how many steps ahead the hold of the current switch must lie.
	Ahead int64
	// Holder is the rank that holds the step.
	Holder int
	// Ranks is the last known state of each rank; Done marks the ranks that have confirmed the
	// current phase.
	Ranks []State
	Done  []bool
	// Next is a lower bound: the next switch gets a higher version.
	Next int64
}

// versionsPerFence reserves a range of versions for each leader, above those of all earlier
// leaders, so that a version identifies the leader that issued it.
const versionsPerFence = 100_000

// fenceOf returns the fence of the leader that issued a rank's newest version, zero for the initial
// map.
func fenceOf(s State) int64 {
	return max(s.Map, s.Prepared, s.Armed) / versionsPerFence
}

// IsReplaced reports whether a rank has a version of a later leader.
func (l *Leader) IsReplaced() bool {
	for _, s := range l.Ranks {
		if fenceOf(s) > l.Fence {
			return true
		}
	}
	return false
}

// NewLeader returns a leader of size ranks that first queries all of them.
func NewLeader(fence int64, size int) *Leader {
	return &Leader{
		Fence: fence,
		Ranks: make([]State, size),
		Done:  make([]bool, size),
		Next:  fence * versionsPerFence,
	}
}

// Clone returns a deep copy.
func (l *Leader) Clone() *Leader {
	c := *l
	c.Ranks = append([]State(nil), l.Ranks...)
	c.Done = append([]bool(nil), l.Done...)
	return &c
}

// Orders returns, by rank, the orders that must be confirmed before the current phase ends; ranks
// without one get the zero Order.
func (l *Leader) Orders() []Order {
	out := make([]Order, len(l.Ranks))
	for r := range out {
		op, needed := l.pendingOp(r)
		if !needed {
			continue
		}
		out[r] = Order{
			Fence:   l.Fence,
			Op:      op,
			Epoch:   l.Epoch,
			Version: l.Version,
			Step:    l.Step,
		}
		if op == OpHold {
			out[r].Ahead = l.Ahead
		}
	}
	return out
}

func (l *Leader) pendingOp(r int) (Op, bool) {
	if l.Phase != PhaseAsk && l.Ranks[r].Held != None && (r != l.Holder || l.Phase == PhaseIdle) {
		// A hold on another rank, or without a switch, was executed late and protects nothing.
		return OpRelease, true
	}
	if l.Done[r] {
		return 0, false
	}
	switch l.Phase {
	case PhaseAsk:
		return OpAsk, true
	case PhasePrepare:
		return OpPrepare, true
	case PhaseHold:
		return OpHold, r == l.Holder
	case PhaseArm:
		return OpArm, true
	case PhaseGo:
		return OpGo, r == l.Holder
	case PhaseRelease:
		return OpRelease, r == l.Holder
	case PhaseIdle:
	}
	return 0, false
}

// Begin starts a switch of all ranks, with the hold on the given rank and the given number of steps
// ahead, and returns its version. ok is false while another switch is in progress.
func (l *Leader) Begin(holder int, ahead int64) (version int64, ok bool) {
	if l.Phase != PhaseIdle || l.IsReplaced() {
		return 0, false
	}
	l.Next++
	for _, s := range l.Ranks {
		// Ranks may still be armed for the switch just confirmed; they accept nothing new before
		// its step has begun.
		if s.Armed != None && s.Armed != l.Version || s.Held != None && s.Held != l.Step || !s.Open {
			return 0, false
		}
		l.Next = max(l.Next, s.Map+1, s.Prepared+1, s.Armed+1)
	}
	l.Version = l.Next
	l.Holder = holder
	l.Ahead = ahead
	l.enter(PhasePrepare)
	return l.Version, true
}

// Abandon gives up a switch that has not armed any rank yet and reports whether there was one.
func (l *Leader) Abandon() bool {
	switch l.Phase {
	case PhasePrepare:
		l.enter(PhaseIdle)
		return true
	case PhaseHold:
		l.enter(PhaseRelease)
		return true
	case PhaseAsk, PhaseIdle, PhaseArm, PhaseGo, PhaseRelease:
	}
	return false
}

// Observe records an unsolicited state of a rank. A new epoch, a new start of the rank's engine or
// a closed rank makes the leader query all ranks again. A delayed state of an earlier start is
// ignored.
func (l *Leader) Observe(r int, s State) {
	old := l.Ranks[r]
	if s.Epoch == old.Epoch && s.EngineStart < old.EngineStart {
		return
	}
	l.Ranks[r] = s
	if l.Phase != PhaseAsk && (s.Epoch != l.Epoch || s.EngineStart != old.EngineStart || !s.Open) {
		l.askAll()
	}
}

// HandleAnswer records a rank's answer to an order of the current phase.
func (l *Leader) HandleAnswer(r int, o Order, done bool, s State) {
	current, needed := l.pendingOp(r)
	if s.Epoch == l.Ranks[r].Epoch && s.EngineStart < l.Ranks[r].EngineStart {
		return
	}
	l.Observe(r, s)
	if !needed || current != o.Op || o.Fence != l.Fence {
		return
	}
	if op, pending := l.pendingOp(r); !pending || op != o.Op {
		return
	}
	if l.Phase == PhaseAsk {
		l.Done[r] = s.Open
		l.resumeSwitch()
		return
	}
	if o.Epoch != l.Epoch || o.Version != l.Version || o.Op == OpArm && o.Step != l.Step {
		// The order belongs to another switch.
		return
	}
	if !done {
		// The order does not fit the rank's state, or the rank does not know this leader: query all
		// ranks for the state to resume from.
		l.askAll()
		return
	}
	if o.Op == OpRelease && (r != l.Holder || l.Phase != PhaseRelease) {
		// The hold that has ended was none of this switch.
		return
	}
	l.Done[r] = true
	l.advance(r, s)
}

func (l *Leader) advance(r int, s State) {
	switch l.Phase {
	case PhasePrepare:
		if l.allDone() {
			l.enter(PhaseHold)
		}
	case PhaseHold:
		l.Step = s.Held
		l.enter(PhaseArm)
	case PhaseArm:
		if l.allDone() {
			l.enter(PhaseGo)
		}
	case PhaseGo, PhaseRelease:
		l.Ranks[r].Held = None
		l.enter(PhaseIdle)
	case PhaseAsk, PhaseIdle:
	}
}

// resumeSwitch completes or releases, once every rank has answered, a switch that an earlier leader
// left behind.
func (l *Leader) resumeSwitch() {
	epoch := l.Ranks[0].Epoch
	for r, s := range l.Ranks {
		if !l.Done[r] {
			return
		}
		if s.Epoch != epoch {
			l.askAll()
			return
		}
	}
	l.Epoch = epoch
	l.Holder = 0
	for r, s := range l.Ranks {
		if s.Held != None {
			l.Holder = r
		}
	}
	for _, s := range l.Ranks {
		if s.Armed != None {
			l.Version = s.Armed
			l.Step = s.ArmedStep
			for r, h := range l.Ranks {
				if h.Held == l.Step {
					l.Holder = r
				}
			}
			l.enter(PhaseArm)
			return
		}
	}
	held := l.Ranks[l.Holder].Held
	if held == None {
		l.enter(PhaseIdle)
		return
	}
	if v, alike := l.commonPrepared(); alike {
		l.Version = v
		l.Step = held
		l.enter(PhaseArm)
		return
	}
	l.Step = held
	l.enter(PhaseRelease)
}

// commonPrepared returns the version that all ranks have prepared, if they have prepared the same
// one.
func (l *Leader) commonPrepared() (int64, bool) {
	v := l.Ranks[0].Prepared
	for _, s := range l.Ranks {
		if s.Prepared != v || v == None {
			return None, false
		}
	}
	return v, true
}

func (l *Leader) allDone() bool {
	for _, d := range l.Done {
		if !d {
			return false
		}
	}
	return true
}

func (l *Leader) enter(p Phase) {
	l.Phase = p
	clear(l.Done)
}

// Ask makes a leader query every rank again, unless a switch is in progress.
func (l *Leader) Ask() {
	if l.Phase == PhaseIdle {
		l.askAll()
	}
}

// askAll starts the phase in which the leader queries every rank.
func (l *Leader) askAll() {
	l.enter(PhaseAsk)
}
