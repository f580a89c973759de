package shift

// Leader decides what the ranks of one group are ordered; it is a value of its ranks' answers only.
type Leader struct {
	Fence int64
	Phase Phase
	Epoch int64
	// Version and Step are those of the present switch.
	Version int64
	Step    int64
	// Ahead is how many steps ahead the hold of the present switch has to lie.
	Ahead int64
	// Holder is the rank that holds the step.
	Holder int
	// Ranks is what is known of each rank; Done marks those that have confirmed the present phase.
	Ranks []State
	Done  []bool
	// Next is the version of the next switch.
	Next int64
}

// versionsPerFence leaves each leader versions of its own above those of all before it, so that a version tells who gave it.
const versionsPerFence = 100_000

// fenceOf returns the fence of the leader that gave the newest version of a rank, zero for the first map's.
func fenceOf(s State) int64 {
	return max(s.Map, s.Prepared, s.Armed) / versionsPerFence
}

// IsReplaced returns true when a rank has a version of a later leader.
func (l *Leader) IsReplaced() bool {
	for _, s := range l.Ranks {
		if fenceOf(s) > l.Fence {
			return true
		}
	}
	return false
}

// NewLeader returns a leader that has to ask all ranks before it does anything.
func NewLeader(fence int64, size int) *Leader {
	return &Leader{
		Fence: fence,
		Ranks: make([]State, size),
		Done:  make([]bool, size),
		Next:  fence * versionsPerFence,
	}
}

// Clone returns a copy that shares nothing.
func (l *Leader) Clone() *Leader {
	c := *l
	c.Ranks = append([]State(nil), l.Ranks...)
	c.Done = append([]bool(nil), l.Done...)
	return &c
}

// Orders returns by rank what has to be confirmed for the present phase to end; ranks that are done have OpAsk's zero value.
func (l *Leader) Orders() []Order {
	out := make([]Order, len(l.Ranks))
	for r := range out {
		op, needed := l.op(r)
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

func (l *Leader) op(r int) (Op, bool) {
	if l.Phase != PhaseAsk && l.Ranks[r].Held != None && r != l.Holder {
		// A hold elsewhere is one that was carried out late and protects nothing.
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

// Begin starts a switch of all ranks, with the hold at one of them and so many steps ahead, and returns its version; ok is false while
// another is under way.
func (l *Leader) Begin(holder int, ahead int64) (version int64, ok bool) {
	if l.Phase != PhaseIdle || l.IsReplaced() {
		return 0, false
	}
	l.Next++
	for _, s := range l.Ranks {
		// The switch just confirmed by all may still be on its way; a rank takes nothing new before its step has begun.
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

// Abandon gives a switch up that has not armed anything yet and returns false when there is none.
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

// Take takes a state that a rank sent unasked; a new epoch or a new start of the rank's engine makes the leader ask anew. A late word of
// an earlier start changes nothing.
func (l *Leader) Take(r int, s State) {
	old := l.Ranks[r]
	if s.Epoch == old.Epoch && s.Born < old.Born {
		return
	}
	l.Ranks[r] = s
	if l.Phase != PhaseAsk && (s.Epoch != l.Epoch || s.Born != old.Born || !s.Open) {
		l.again()
	}
}

// Answered takes a rank's answer to an order of the present phase.
func (l *Leader) Answered(r int, o Order, done bool, s State) {
	current, needed := l.op(r)
	if s.Epoch == l.Ranks[r].Epoch && s.Born < l.Ranks[r].Born {
		return
	}
	l.Take(r, s)
	if !needed || current != o.Op || o.Fence != l.Fence {
		return
	}
	if now, still := l.op(r); !still || now != o.Op {
		return
	}
	if l.Phase == PhaseAsk {
		l.Done[r] = s.Open
		l.decide()
		return
	}
	if o.Epoch != l.Epoch || o.Op == OpRelease && r != l.Holder || o.Op == OpArm && (o.Step != l.Step || o.Version != l.Version) {
		return
	}
	if !done {
		// The order doesn't fit the rank's state, or the rank doesn't know this leader: all ranks tell what to go on from.
		l.again()
		return
	}
	l.Done[r] = true
	l.advance(r, s)
}

func (l *Leader) advance(r int, s State) {
	switch l.Phase {
	case PhasePrepare:
		if l.all() {
			l.enter(PhaseHold)
		}
	case PhaseHold:
		l.Step = s.Held
		l.enter(PhaseArm)
	case PhaseArm:
		if l.all() {
			l.enter(PhaseGo)
		}
	case PhaseGo, PhaseRelease:
		l.Ranks[r].Held = None
		l.enter(PhaseIdle)
	case PhaseAsk, PhaseIdle:
	}
}

// decide settles, once every rank has answered, what an earlier leader may have left behind.
func (l *Leader) decide() {
	epoch := l.Ranks[0].Epoch
	for r, s := range l.Ranks {
		if !l.Done[r] {
			return
		}
		if s.Epoch != epoch {
			l.again()
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
	if v, alike := l.prepared(); alike {
		l.Version = v
		l.Step = held
		l.enter(PhaseArm)
		return
	}
	l.Step = held
	l.enter(PhaseRelease)
}

// prepared returns the version that all ranks have prepared, when it is one.
func (l *Leader) prepared() (int64, bool) {
	v := l.Ranks[0].Prepared
	for _, s := range l.Ranks {
		if s.Prepared != v || v == None {
			return None, false
		}
	}
	return v, true
}

func (l *Leader) all() bool {
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

// Ask makes a leader without a switch under way ask every rank anew.
func (l *Leader) Ask() {
	if l.Phase == PhaseIdle {
		l.again()
	}
}

// again makes the leader ask every rank anew.
func (l *Leader) again() {
	l.enter(PhaseAsk)
}
