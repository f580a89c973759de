package shift

const (
	// Ahead is how many steps after the last one begun a hold lies at least: the next one, which the engine refuses if it has begun meanwhile.
	Ahead = 1
	// AheadLossy is Ahead while orders get lost, so that all ranks are armed before the group comes to the step that is held.
	AheadLossy = 3
	// AheadMost is the most that a leader may ask for: half a second of steps of 80 ms, longer than ranks that answer at all take to be armed.
	AheadMost = 6
)

// Guard is the part of an agent that decides which orders reach its engine; its zero value has seen nothing.
type Guard struct {
	Fence int64
	// Asked is the fence of the leader that has last asked for this rank's state; only that one may order anything.
	Asked int64
	Epoch int64
	// Born is the start of the engine that the rest was seen of.
	Born int64
	// Floor is the highest step that this rank was ever told to hold or to let go in this epoch.
	Floor int64
	// Want is the step that the present switch holds here, None without one; Seen is false until the first state.
	Want int64
	Seen bool
	// Lossy makes holds lie AheadLossy steps ahead at least.
	Lossy bool
	// Most is the farthest that a hold may lie ahead, AheadMost where it is zero; all guards of a group have the same.
	Most int64
}

// most returns the farthest that a leader may have a hold lie ahead.
func (g *Guard) most() int64 {
	if g.Most == 0 {
		return AheadMost
	}
	return g.Most
}

// furthest is how many steps after the last one begun a hold may lie, so that a restarted agent knows which steps old orders may name: one
// more than asked for, since a hold that was let go leaves its step behind.
func (g *Guard) furthest() int64 {
	return g.most() + 1
}

// Answer is what a guard makes of an order.
type Answer uint8

const (
	// AnswerRefused means that the leader is not the newest.
	AnswerRefused Answer = iota
	// AnswerWrong means that the order doesn't fit the rank's state, so that the switch can't go on here.
	AnswerWrong
	// AnswerDone means that the state already is what the order asks for.
	AnswerDone
	// AnswerSend means that the engine has to be told.
	AnswerSend
	// AnswerWait means that the engine can't take the order yet.
	AnswerWait
)

// Observe takes a fresh state of the rank: a new epoch clears what was held, a first one after a start of this process or of the engine
// leaves a margin, because orders to the engine's earlier start may name steps to come; a version of a later leader than any seen makes
// that one the newest.
func (g *Guard) Observe(s State) {
	// An agent that was restarted knows from the engine's versions which leader was the last, and an older one that wakes is refused.
	g.Fence = max(g.Fence, fenceOf(s))
	if g.Seen && s.Epoch == g.Epoch && s.Born == g.Born {
		return
	}
	again := g.Seen && s.Epoch == g.Epoch
	g.Epoch = s.Epoch
	g.Born = s.Born
	g.Want = None
	g.Floor = 0
	if again {
		g.Floor = s.Step + g.furthest()
	}
	if !g.Seen {
		// What is held at the start may protect a switch that is half armed: only a leader, who asks every rank, may end it.
		g.Floor = s.Step + g.furthest()
		g.Want = s.Held
	}
	g.Seen = true
}

// Judge decides on an order under a fresh state and returns the order for the engine, whose step the guard chooses for a hold.
func (g *Guard) Judge(o Order, s State) (Answer, Order) {
	g.Observe(s)
	if o.Fence < g.Fence {
		return AnswerRefused, o
	}
	if o.Fence > g.Fence && s.Held == None {
		// An older leader's hold that was never seen is wanted no more, should it be carried out after all.
		g.Want = None
	}
	g.Fence = o.Fence
	if g.Unwanted(s) != None {
		// A leader that saw this hold could build on it, while it is about to be ended.
		return AnswerWait, o
	}
	if o.Op == OpAsk {
		g.Asked = o.Fence
		return AnswerDone, o
	}
	if g.Asked != o.Fence || o.Epoch != s.Epoch {
		// After a restart this guard can't tell an old leader from the newest; one that asks all ranks learns it from the others.
		return AnswerWrong, o
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
		return g.release(s.Held, o, s)
	}
	return AnswerWrong, o
}

func (g *Guard) prepare(o Order, s State) (Answer, Order) {
	switch {
	case s.Prepared == o.Version:
		return AnswerDone, o
	case s.Armed != None:
		return AnswerWait, o
	case s.Map >= o.Version || s.Prepared > o.Version:
		return AnswerWrong, o
	}
	return AnswerSend, o
}

func (g *Guard) hold(o Order, s State) (Answer, Order) {
	if g.Want != None && s.Held == g.Want {
		o.Step = g.Want
		return AnswerDone, o
	}
	if s.Held != None || s.Armed != None {
		return AnswerWait, o
	}
	// A step whose hold was sent and not seen yet may still be taken while it is to come; a new one is chosen after that.
	if g.Want == None || g.Want <= s.Step {
		next := max(s.Step+g.ahead(o), g.Floor+1)
		if next > s.Step+g.furthest() {
			return AnswerWait, o
		}
		g.Want = next
		g.Floor = next
	}
	o.Step = g.Want
	return AnswerSend, o
}

// ahead returns how many steps ahead the hold of an order has to lie.
func (g *Guard) ahead(o Order) int64 {
	least := int64(Ahead)
	if g.Lossy {
		least = AheadLossy
	}
	return min(max(least, o.Ahead), g.most())
}

func (g *Guard) arm(o Order, s State) (Answer, Order) {
	switch {
	case s.Armed == o.Version && s.ArmedStep == o.Step, s.Map == o.Version:
		return AnswerDone, o
	case s.Armed != None, s.Prepared != o.Version, s.Step >= o.Step:
		return AnswerWrong, o
	}
	return AnswerSend, o
}

func (g *Guard) release(step int64, o Order, s State) (Answer, Order) {
	g.Want = None
	if s.Held == None || s.Held != step {
		return AnswerDone, o
	}
	g.Floor = max(g.Floor, step)
	o.Op = OpGo
	o.Step = step
	return AnswerSend, o
}

// Unwanted returns a held step that no switch wants, which the agent must let go, or None.
func (g *Guard) Unwanted(s State) int64 {
	if !g.Seen || s.Held == None || s.Held == g.Want {
		return None
	}
	return s.Held
}
