package shift

const ranks = 2

// engine models a rank as documented by the platform.
type engine struct {
	Map, Prepared, Armed, ArmedStep, Held int64
}

// lateOrder is an order without an answer that may be executed at any later time; Op is 0 for none.
type lateOrder struct {
	Epoch int64
	Rank  int
	Op    Op
	V, N  int64
}

// leaderState is a Leader in a comparable form that can be a map key.
type leaderState struct {
	Alive    bool
	Phase    Phase
	Epoch    int64
	Version  int64
	Step     int64
	Ahead    int64
	Holder   int
	Ranks    [ranks]State
	Done     [ranks]bool
	Next     int64
	Switches int
}

// attempt is an order that its agent goes on trying; Order.Op is 0 for none.
type attempt struct {
	Leader int
	Rank   int
	Order  Order
}

type world struct {
	Step     int64
	Epoch    int64
	Engines  [ranks]engine
	Guards   [ranks]Guard
	Late     [2]lateOrder
	Attempt  attempt
	Leaders  [2]leaderState
	Restarts int
}

// bounds limits one exploration.
type bounds struct {
	steps    int64
	late     int
	leaders  int
	switches int
	restarts int
	breaks   int64
	states   int
	// maxAhead is the maximum distance of a hold; with a small one a few steps cover every case.
	maxAhead int64
	// attempts lets agents go on trying an order while their leader goes on to other phases.
	attempts bool
	mutation string
}

// cannotArm reports whether a rank has prepared a later version than one that another rank is armed
// with for an upcoming step: it can never be armed with the same version, so the group stalls
// permanently.
func (w *world) cannotArm(e engine) bool {
	for _, other := range w.Engines {
		if other.Armed != None && other.ArmedStep > w.Step && e.Armed == None && e.Map != other.Armed && e.Prepared > other.Armed {
			return true
		}
	}
	return false
}

func (w *world) state(r int) State {
	e := w.Engines[r]
	return State{
		Epoch:     w.Epoch,
		Open:      true,
		Step:      w.Step,
		Map:       e.Map,
		Prepared:  e.Prepared,
		Armed:     e.Armed,
		ArmedStep: e.ArmedStep,
		Held:      e.Held,
	}
}

// execute executes an order as the platform's engines do: it changes nothing if they would refuse
// it.
func (w *world) execute(r int, op Op, epoch, v, n int64) {
	if epoch != w.Epoch {
		return
	}
	e := &w.Engines[r]
	switch op {
	case OpPrepare:
		if e.Armed == None && v > e.Prepared && v > e.Map {
			e.Prepared = v
		}
	case OpHold:
		if e.Held == None && n > w.Step {
			e.Held = n
		}
	case OpArm:
		if e.Armed == None && e.Prepared == v && n > w.Step {
			e.Armed, e.ArmedStep = v, n
		}
	case OpGo:
		if e.Held == n {
			e.Held = None
		}
	}
}

func (w *world) beginStep() bool {
	next := w.Step + 1
	for _, e := range w.Engines {
		if e.Held == next {
			return false
		}
	}
	w.Step = next
	for r := range w.Engines {
		e := &w.Engines[r]
		if e.Armed != None && e.ArmedStep == next {
			e.Map = e.Armed
			e.Armed, e.ArmedStep, e.Prepared = None, None, None
		}
	}
	return true
}

func (w *world) addLate(most int, l lateOrder) bool {
	for i := range min(most, len(w.Late)) {
		if w.Late[i] == l {
			return false
		}
		if w.Late[i].Op == 0 {
			w.Late[i] = l
			return true
		}
	}
	return false
}

func (l leaderState) leader(fence int64) *Leader {
	return &Leader{
		Fence:   fence,
		Phase:   l.Phase,
		Epoch:   l.Epoch,
		Version: l.Version,
		Step:    l.Step,
		Ahead:   l.Ahead,
		Holder:  l.Holder,
		Ranks:   append([]State(nil), l.Ranks[:]...),
		Done:    append([]bool(nil), l.Done[:]...),
		Next:    l.Next,
	}
}

func (l *leaderState) set(from *Leader) {
	l.Phase, l.Epoch, l.Version, l.Step = from.Phase, from.Epoch, from.Version, from.Step
	l.Ahead, l.Holder, l.Next = from.Ahead, from.Holder, from.Next
	copy(l.Ranks[:], from.Ranks)
	copy(l.Done[:], from.Done)
}

// settleRounds is how often all ranks, agents and leaders act after the last failure, and settleSteps how
// many steps the group must make in that time.
const (
	settleRounds = 40
	settleSteps  = 8
)

// settles reports whether the group goes on with one map in all ranks once nothing fails: orders that are still
// under way are executed, and the newest leader, or a new one, gets an answer to each of its orders.
func (w world) settles() bool {
	for _, l := range w.Late {
		if l.Op != 0 {
			w.execute(l.Rank, l.Op, l.Epoch, l.V, l.N)
		}
	}
	if a := w.Attempt; a.Order.Op != 0 {
		w.try(a.Rank, a.Order)
	}
	fence := int64(ranks)
	if !w.Leaders[1].Alive {
		fence = 1
	}
	l := w.Leaders[fence-1].leader(fence)
	if !w.Leaders[fence-1].Alive {
		fence = ranks + 1
		l = NewLeader(fence, ranks)
	}
	from := w.Step
	for range settleRounds {
		if !w.settle(l) {
			fence++
			l = NewLeader(max(fence, ranks+1), ranks)
		}
		w.beginStep()
	}
	return w.Step >= from+settleSteps && w.Engines[0].Map == w.Engines[1].Map
}

// settle lets each agent and the leader act once, and reports whether the leader was not replaced.
func (w *world) settle(l *Leader) bool {
	for r := range w.Engines {
		w.Guards[r].Observe(w.state(r))
		if held := w.Guards[r].OrphanedHold(w.state(r)); held != None {
			w.execute(r, OpGo, w.Epoch, 0, held)
		}
		l.Observe(r, w.state(r))
	}
	for r, o := range l.Orders() {
		if o.Op == 0 {
			continue
		}
		switch verdict := w.try(r, o); verdict {
		case VerdictRefused:
			return false
		case VerdictDone, VerdictMismatch:
			l.HandleAnswer(r, o, verdict == VerdictDone, w.state(r))
		case VerdictForward, VerdictNotReady:
		}
	}
	return true
}

// try evaluates an order at a rank, executes it and returns the verdict after that.
func (w *world) try(r int, o Order) Verdict {
	verdict, send := w.Guards[r].Evaluate(o, w.state(r))
	if verdict != VerdictForward {
		return verdict
	}
	w.execute(r, send.Op, send.Epoch, send.Version, send.Step)
	verdict, _ = w.Guards[r].Evaluate(o, w.state(r))
	return verdict
}
