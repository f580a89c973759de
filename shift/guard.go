package shift

const (
	// MinAhead is the minimum distance of a hold from the last step begun, in steps: the next step,
	// which the engine refuses to hold if it has begun in the meantime.
	MinAhead = 1
	// MinAheadLossy replaces MinAhead while orders get lost, so that all ranks are armed before the
	// group reaches the held step.
	MinAheadLossy = 3
	// MaxAhead is the maximum distance that a leader may ask for: half a second at 80 ms per step,
	// longer than responsive ranks take to be armed.
	MaxAhead = 6
)

// Guard decides which orders of leaders reach the engine of one rank; the zero value has observed
// no state yet.
type Guard struct {
	Fence int64
	// AskedBy is the fence of the leader that last queried this rank; only that leader may give
	// orders.
	AskedBy int64
	Epoch   int64
	// EngineStart is the start of the engine that the other fields apply to.
	EngineStart int64
	// Floor is the highest step that this rank was ordered to hold or release in this epoch, or may
	// have been before a restart; new holds lie above it.
	Floor int64
	// HoldStep is the step that the current switch holds on this rank, or None, and HoldVersion is the
	// version of that switch. Observed is false until the first state.
	HoldStep    int64
	HoldVersion int64
	// Ended is the highest version of a switch whose hold was ordered to end, zero if there is none.
	Ended    int64
	Observed bool
	// Lossy makes holds lie at least MinAheadLossy steps ahead.
	Lossy bool
	// MaxAhead is the maximum distance of a hold, zero for the constant MaxAhead; all guards of a
	// group must have the same value.
	MaxAhead int64
}

// maxAhead returns the maximum distance of a hold that a leader may ask for.
func (g *Guard) maxAhead() int64 {
	if g.MaxAhead == 0 {
		return MaxAhead
	}
	return g.MaxAhead
}

// holdWindow returns how many steps after the last one begun a hold may lie, so that a restarted
// agent knows which steps earlier orders may name. It is one more than maxAhead, since a released
// hold uses up its step.
func (g *Guard) holdWindow() int64 {
	return g.maxAhead() + 1
}

// Verdict is a guard's decision on an order.
type Verdict uint8

const (
	// VerdictRefused means that the leader is not the newest one.
	VerdictRefused Verdict = iota
	// VerdictMismatch means that the order does not fit the rank's state and the switch cannot
	// continue here.
	VerdictMismatch
	// VerdictDone means that the rank is already in the state that the order requests.
	VerdictDone
	// VerdictForward means that the order has to be sent to the engine.
	VerdictForward
	// VerdictNotReady means that the engine cannot accept the order yet.
	VerdictNotReady
)

// Observe records a fresh state of the rank. A new epoch clears the hold. A restart of this process
// or of the engine also raises Floor by holdWindow, because orders sent before the restart may name
// upcoming steps. A map version of a later leader raises Fence to that leader's fence.
func (g *Guard) Observe(s State) {
	// The engine's versions tell a restarted agent which leader was the last, so that it refuses an
	// older one that resumes.
	g.Fence = max(g.Fence, fenceOf(s))
	if g.Observed && s.Epoch == g.Epoch && s.EngineStart == g.EngineStart {
		return
	}
	restarted := g.Observed && s.Epoch == g.Epoch
	g.Epoch = s.Epoch
	g.EngineStart = s.EngineStart
	g.HoldStep = None
	g.Floor = 0
	if restarted {
		g.Floor = s.Step + g.holdWindow()
	}
	if !g.Observed {
		// A hold found at startup may protect a partly armed switch: only a leader, which queries
		// every rank, may release it.
		g.Floor = s.Step + g.holdWindow()
		g.HoldStep = s.Held
	}
	g.Observed = true
}

// Evaluate decides on an order, given a fresh state, and returns the order for the engine. The
// guard chooses the step of a hold.
func (g *Guard) Evaluate(o Order, s State) (Verdict, Order) {
	g.Observe(s)
	if o.Fence < g.Fence {
		return VerdictRefused, o
	}
	if o.Fence > g.Fence && s.Held == None {
		// A hold by an older leader that was not observed is orphaned if it is still executed.
		g.HoldStep = None
	}
	g.Fence = o.Fence
	if g.OrphanedHold(s) != None {
		// The hold is about to be released; a leader that saw it could rely on it.
		return VerdictNotReady, o
	}
	if o.Op == OpAsk {
		g.AskedBy = o.Fence
		return VerdictDone, o
	}
	if g.AskedBy != o.Fence || o.Epoch != s.Epoch {
		// A restarted guard cannot tell a stale leader from the newest one; a leader that queries
		// all ranks learns from the others whether it is stale.
		return VerdictMismatch, o
	}
	switch o.Op {
	case OpPrepare:
		return g.prepare(o, s)
	case OpHold:
		return g.hold(o, s)
	case OpArm:
		return g.arm(o, s)
	case OpGo:
		return g.release(o.Step, o, s)
	case OpRelease:
		if g.HoldStep != None && o.Version < g.HoldVersion {
			// The agent has gone on trying the release of an earlier switch.
			return VerdictDone, o
		}
		return g.release(s.Held, o, s)
	}
	return VerdictMismatch, o
}

func (g *Guard) prepare(o Order, s State) (Verdict, Order) {
	switch {
	case s.Prepared == o.Version:
		return VerdictDone, o
	case s.Armed != None:
		return VerdictNotReady, o
	case s.Map >= o.Version || s.Prepared > o.Version:
		return VerdictMismatch, o
	}
	return VerdictForward, o
}

func (g *Guard) hold(o Order, s State) (Verdict, Order) {
	if g.Ended > 0 && o.Version <= g.Ended {
		// The agent has gone on trying the hold of a switch that has ended.
		return VerdictMismatch, o
	}
	g.HoldVersion = o.Version
	if g.HoldStep != None && s.Held == g.HoldStep {
		o.Step = g.HoldStep
		return VerdictDone, o
	}
	if s.Held != None || s.Armed != None {
		return VerdictNotReady, o
	}
	// A hold that was sent but not observed is resent while its step lies ahead; after that a new
	// step is chosen.
	if g.HoldStep == None || g.HoldStep <= s.Step {
		next := max(s.Step+g.ahead(o), g.Floor+1)
		if next > s.Step+g.holdWindow() {
			return VerdictNotReady, o
		}
		g.HoldStep = next
		g.Floor = next
	}
	o.Step = g.HoldStep
	return VerdictForward, o
}

// ahead returns how many steps ahead the hold of an order must lie.
func (g *Guard) ahead(o Order) int64 {
	least := int64(MinAhead)
	if g.Lossy {
		least = MinAheadLossy
	}
	return min(max(least, o.Ahead), g.maxAhead())
}

func (g *Guard) arm(o Order, s State) (Verdict, Order) {
	switch {
	case s.Armed == o.Version && s.ArmedStep == o.Step, s.Map == o.Version:
		return VerdictDone, o
	case s.Armed != None, s.Prepared != o.Version, s.Step >= o.Step:
		return VerdictMismatch, o
	}
	return VerdictForward, o
}

func (g *Guard) release(step int64, o Order, s State) (Verdict, Order) {
	g.HoldStep = None
	g.Ended = max(g.Ended, o.Version)
	if s.Held == None || s.Held != step {
		return VerdictDone, o
	}
	g.Floor = max(g.Floor, step)
	o.Op = OpGo
	o.Step = step
	return VerdictForward, o
}

// OrphanedHold returns a held step that belongs to no switch and must be released, or None.
func (g *Guard) OrphanedHold(s State) int64 {
	if !g.Observed || s.Held == None || s.Held == g.HoldStep {
		return None
	}
	return s.Held
}
