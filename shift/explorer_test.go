package shift

import (
	"math/rand/v2"
	"slices"
	"testing"
)

type explorer struct {
	t        *testing.T
	b        bounds
	seen     map[world]struct{}
	frontier []world
	// parent maps each state to its predecessor, so that a violation can be printed as a trace.
	parent    map[world]world
	current   world
	violation world
	failed    bool
	// rng picks the next state to visit, with a fixed seed.
	rng *rand.Rand
}

func (x *explorer) push(w world) {
	if _, ok := x.seen[w]; ok || x.failed || len(x.seen) >= x.b.states {
		return
	}
	x.seen[w] = struct{}{}
	x.parent[w] = x.current
	x.frontier = append(x.frontier, w)
	for _, e := range w.Engines {
		if e.Map != w.Engines[0].Map || w.cannotArm(e) {
			x.failed = true
			x.violation = w
		}
	}
	if x.b.attempts && !x.failed && !w.settles() {
		x.failed = true
		x.violation = w
	}
}

// run explores the states within bounds, and returns their number and whether an invariant was
// violated.
func (x *explorer) run() (int, bool) {
	start := world{Epoch: 1}
	for r := range start.Engines {
		start.Engines[r] = engine{Prepared: None, Armed: None, ArmedStep: None, Held: None}
		start.Guards[r] = Guard{Epoch: 1, HoldStep: None, Observed: true, MaxAhead: x.b.maxAhead}
	}
	first := leaderState{Alive: true}
	first.set(NewLeader(1, ranks))
	start.Leaders[0] = first
	x.seen = make(map[world]struct{})
	x.parent = make(map[world]world)
	x.rng = rand.New(rand.NewPCG(1, 2))
	x.push(start)
	for len(x.frontier) > 0 && !x.failed {
		// Any order visits the same states; random order finds a violation sooner than depth-first.
		i := x.rng.IntN(len(x.frontier))
		w := x.frontier[i]
		x.frontier[i] = x.frontier[len(x.frontier)-1]
		x.frontier = x.frontier[:len(x.frontier)-1]
		x.current = w
		x.expand(w)
	}
	return len(x.seen), x.failed
}

// trace returns the states that lead to the violation, in order.
func (x *explorer) trace() []world {
	var out []world
	for w := x.violation; w != (world{}); w = x.parent[w] {
		out = append(out, w)
	}
	slices.Reverse(out)
	return out
}

func (x *explorer) expand(w world) {
	if w.Step < x.b.steps {
		if n := w; n.beginStep() {
			x.push(n)
		}
	}
	for i, l := range w.Late {
		if l.Op != 0 {
			n := w
			n.Late[i] = lateOrder{}
			n.execute(l.Rank, l.Op, l.Epoch, l.V, l.N)
			x.push(n)
		}
	}
	if w.Epoch <= x.b.breaks {
		// The group breaks and re-forms with the first map and nothing prepared, armed or held.
		n := w
		n.Epoch++
		for r := range n.Engines {
			n.Engines[r] = engine{Prepared: None, Armed: None, ArmedStep: None, Held: None}
		}
		x.push(n)
	}
	if x.b.leaders > 1 && !w.Leaders[1].Alive && w.Leaders[1].Next == 0 {
		n := w
		n.Leaders[1].Alive = true
		n.Leaders[1].set(NewLeader(2, ranks))
		x.push(n)
	}
	if w.Attempt.Order.Op != 0 {
		x.expandAttempt(w)
	}
	for r := range w.Guards {
		if w.Restarts < x.b.restarts {
			n := w
			n.Restarts++
			n.Guards[r] = Guard{MaxAhead: x.b.maxAhead}
			if n.Attempt.Rank == r {
				n.Attempt = attempt{}
			}
			x.push(n)
		}
		x.expandCleanup(w, r)
	}
	for i := range w.Leaders {
		if w.Leaders[i].Alive {
			x.expandLeader(w, i)
		}
	}
}

// expandAttempt lets an agent go on trying an order, or give it up.
func (x *explorer) expandAttempt(w world) {
	a := w.Attempt
	n := w
	n.Attempt = attempt{}
	x.push(n)
	n = w
	verdict := n.try(a.Rank, a.Order)
	if verdict == VerdictNotReady || verdict == VerdictForward {
		x.push(n)
		return
	}
	n.Attempt = attempt{}
	x.push(n)
	if l := n.Leaders[a.Leader]; l.Alive && verdict != VerdictRefused {
		x.pushAnswer(n, a.Leader, l.leader(int64(a.Leader+1)), a.Rank, a.Order, verdict == VerdictDone)
	}
}

// expandCleanup lets the agent of a rank release an orphaned hold.
func (x *explorer) expandCleanup(w world, r int) {
	g := w.Guards[r]
	g.Observe(w.state(r))
	if x.b.mutation == "blind_after_restart" && !w.Guards[r].Observed {
		g.HoldStep = None
	}
	if x.b.mutation == "no_margin_after_restart" && !w.Guards[r].Observed {
		g.Floor = w.Step
	}
	held := g.OrphanedHold(w.state(r))
	w.Guards[r] = g
	x.push(w)
	if held == None {
		return
	}
	n := w
	n.execute(r, OpGo, w.Epoch, 0, held)
	x.push(n)
	if w.addLate(x.b.late, lateOrder{Epoch: w.Epoch, Rank: r, Op: OpGo, N: held}) {
		x.push(w)
	}
}

func (x *explorer) expandLeader(w world, i int) {
	l := w.Leaders[i].leader(int64(i + 1))
	if l.Phase == PhaseIdle && w.Leaders[i].Switches < x.b.switches {
		x.expandBegin(w, i, l)
	}
	for r := range ranks {
		n, c := w, l.Clone()
		c.Observe(r, w.state(r))
		n.Leaders[i].set(c)
		x.push(n)
	}
	n, c := w, l.Clone()
	if x.b.mutation == "back_after_arm" && c.Phase == PhaseArm {
		c.Phase = PhaseHold
	}
	if c.Abandon() {
		n.Leaders[i].set(c)
		x.push(n)
	}
	if x.b.mutation == "arm_before_hold" && l.Phase == PhaseHold {
		n, c := w, l.Clone()
		c.Step = w.Step + MinAhead + 1
		c.enter(PhaseArm)
		n.Leaders[i].set(c)
		x.push(n)
	}
	if x.b.mutation == "go_before_all_armed" && l.Phase == PhaseArm && (l.Done[0] || l.Done[1]) {
		n, c := w, l.Clone()
		c.enter(PhaseGo)
		n.Leaders[i].set(c)
		x.push(n)
	}
	for r, o := range l.Orders() {
		if o.Op == 0 {
			continue
		}
		x.expandOrder(w, i, l, r, o)
		if o.Op == OpHold {
			n := w
			n.Guards[r].Lossy = !w.Guards[r].Lossy
			x.expandOrder(n, i, l, r, o)
		}
	}
}

// expandBegin starts a switch with the hold on each rank, at the minimum and the maximum distance.
func (x *explorer) expandBegin(w world, i int, l *Leader) {
	for holder := range ranks {
		for _, ahead := range []int64{MinAhead, w.Guards[holder].maxAhead()} {
			n, c := w, l.Clone()
			if v, ok := c.Begin(holder, ahead); ok {
				// If two leaders gave the same version to different maps, the group would split
				// without any rank noticing.
				x.failed = x.failed || v/versionsPerFence != int64(i+1)
				n.Leaders[i].set(c)
				n.Leaders[i].Switches++
				x.push(n)
			}
		}
	}
}

// expandOrder sends one order of a leader to a rank: answered, executed without an answer, or lost
// and executed late.
func (x *explorer) expandOrder(w world, i int, l *Leader, r int, o Order) {
	g := w.Guards[r]
	switch x.b.mutation {
	case "no_guard":
		g.Fence = 0
	case "reuse_step":
		g.Floor = 0
	case "no_margin_after_restart":
		if !g.Observed {
			g.Observe(w.state(r))
			g.Floor = w.Step
		}
	}
	answer, send := g.Evaluate(o, w.state(r))
	if x.b.mutation == "answer_before_clean" && answer == VerdictNotReady && o.Op == OpAsk {
		answer = VerdictDone
	}
	w.Guards[r] = g
	switch answer {
	case VerdictRefused:
		w.Leaders[i].Alive = false
		w.Leaders[i].Next = -1
		x.push(w)
	case VerdictMismatch, VerdictDone:
		x.pushAnswer(w, i, l, r, o, answer == VerdictDone)
	case VerdictNotReady:
		x.push(w)
		x.pushAttempt(w, i, r, o)
	case VerdictForward:
		x.pushAttempt(w, i, r, o)
		n := w
		n.execute(r, send.Op, send.Epoch, send.Version, send.Step)
		x.push(n)
		verdict, _ := g.Evaluate(o, n.state(r))
		n.Guards[r] = g
		x.pushAnswer(n, i, l, r, o, verdict == VerdictDone)
		if w.addLate(x.b.late, lateOrder{Epoch: send.Epoch, Rank: r, Op: send.Op, V: send.Version, N: send.Step}) {
			x.push(w)
		}
	}
}

// pushAttempt pushes a state in which the agent goes on trying an order.
func (x *explorer) pushAttempt(w world, i, r int, o Order) {
	if !x.b.attempts || w.Attempt.Order.Op != 0 {
		return
	}
	w.Attempt = attempt{
		Leader: i,
		Rank:   r,
		Order:  o,
	}
	x.push(w)
}

func (x *explorer) pushAnswer(w world, i int, l *Leader, r int, o Order, done bool) {
	x.push(w)
	c := l.Clone()
	c.HandleAnswer(r, o, done, w.state(r))
	w.Leaders[i].set(c)
	x.push(w)
}
