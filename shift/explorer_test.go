package shift

import (
	"math/rand/v2"
	"slices"
	"testing"
)

type explorer struct {
	t    *testing.T
	b    bounds
	seen map[world]struct{}
	todo []world
	// from leads back from each state to the one it came from, so that a fault can be told step by step.
	from map[world]world
	at   world
	last world
	bad  bool
	// random draws the order in which states are visited, with a fixed seed.
	random *rand.Rand
}

func (x *explorer) push(w world) {
	if _, ok := x.seen[w]; ok || x.bad || len(x.seen) >= x.b.states {
		return
	}
	x.seen[w] = struct{}{}
	x.from[w] = x.at
	x.todo = append(x.todo, w)
	for _, e := range w.Engines {
		if e.Map != w.Engines[0].Map || w.outruns(e) {
			x.bad = true
			x.last = w
		}
	}
}

// run visits all states and returns their number and whether two maps were seen in a pass.
func (x *explorer) run() (int, bool) {
	start := world{Epoch: 1}
	for r := range start.Engines {
		start.Engines[r] = engine{Prepared: None, Armed: None, ArmedStep: None, Held: None}
		start.Guards[r] = Guard{Epoch: 1, Want: None, Seen: true, Most: x.b.most}
	}
	first := lead{Alive: true}
	first.set(NewLeader(1, ranks))
	start.Leads[0] = first
	x.seen = make(map[world]struct{})
	x.from = make(map[world]world)
	x.random = rand.New(rand.NewPCG(1, 2))
	x.push(start)
	for len(x.todo) > 0 && !x.bad {
		// Any order visits the same states; a drawn one finds a fault sooner than going deep first.
		i := x.random.IntN(len(x.todo))
		w := x.todo[i]
		x.todo[i] = x.todo[len(x.todo)-1]
		x.todo = x.todo[:len(x.todo)-1]
		x.at = w
		x.expand(w)
	}
	return len(x.seen), x.bad
}

// trace tells the states that lead to the last one, the first of them first.
func (x *explorer) trace() []world {
	var out []world
	for w := x.last; w != (world{}); w = x.from[w] {
		out = append(out, w)
	}
	slices.Reverse(out)
	return out
}

func (x *explorer) expand(w world) {
	if w.Step < x.b.steps {
		if n := w; n.begin() {
			x.push(n)
		}
	}
	for i, l := range w.Late {
		if l.Op != 0 {
			n := w
			n.Late[i] = late{}
			n.execute(l.Rank, l.Op, l.Epoch, l.V, l.N)
			x.push(n)
		}
	}
	if w.Epoch <= x.b.breaks {
		// The group breaks and forms anew, with the first map and nothing prepared, armed or held.
		n := w
		n.Epoch++
		for r := range n.Engines {
			n.Engines[r] = engine{Prepared: None, Armed: None, ArmedStep: None, Held: None}
		}
		x.push(n)
	}
	if x.b.leaders > 1 && !w.Leads[1].Alive && w.Leads[1].Next == 0 {
		n := w
		n.Leads[1].Alive = true
		n.Leads[1].set(NewLeader(2, ranks))
		x.push(n)
	}
	for r := range w.Guards {
		if w.Restarts < x.b.restarts {
			n := w
			n.Restarts++
			n.Guards[r] = Guard{Most: x.b.most}
			x.push(n)
		}
		x.clean(w, r)
	}
	for i := range w.Leads {
		if w.Leads[i].Alive {
			x.lead(w, i)
		}
	}
}

// clean lets the agent of a rank let go what nobody wants.
func (x *explorer) clean(w world, r int) {
	g := w.Guards[r]
	g.Observe(w.state(r))
	if x.b.mutation == "blind_after_restart" && !w.Guards[r].Seen {
		g.Want = None
	}
	if x.b.mutation == "no_margin_after_restart" && !w.Guards[r].Seen {
		g.Floor = w.Step
	}
	held := g.Unwanted(w.state(r))
	w.Guards[r] = g
	x.push(w)
	if held == None {
		return
	}
	n := w
	n.execute(r, OpGo, w.Epoch, 0, held)
	x.push(n)
	if w.addLate(x.b.late, late{Epoch: w.Epoch, Rank: r, Op: OpGo, N: held}) {
		x.push(w)
	}
}

func (x *explorer) lead(w world, i int) {
	l := w.Leads[i].leader(int64(i + 1))
	if l.Phase == PhaseIdle && w.Leads[i].Begun < x.b.switches {
		x.begin(w, i, l)
	}
	for r := range ranks {
		n, c := w, l.Clone()
		c.Take(r, w.state(r))
		n.Leads[i].set(c)
		x.push(n)
	}
	n, c := w, l.Clone()
	if x.b.mutation == "back_after_arm" && c.Phase == PhaseArm {
		c.Phase = PhaseHold
	}
	if c.Abandon() {
		n.Leads[i].set(c)
		x.push(n)
	}
	if x.b.mutation == "arm_before_hold" && l.Phase == PhaseHold {
		n, c := w, l.Clone()
		c.Step = w.Step + Ahead + 1
		c.enter(PhaseArm)
		n.Leads[i].set(c)
		x.push(n)
	}
	if x.b.mutation == "go_before_all_armed" && l.Phase == PhaseArm && (l.Done[0] || l.Done[1]) {
		n, c := w, l.Clone()
		c.enter(PhaseGo)
		n.Leads[i].set(c)
		x.push(n)
	}
	for r, o := range l.Orders() {
		if o.Op == 0 {
			continue
		}
		x.order(w, i, l, r, o)
		if o.Op == OpHold {
			n := w
			n.Guards[r].Lossy = !w.Guards[r].Lossy
			x.order(n, i, l, r, o)
		}
	}
}

// begin starts a switch with the hold at each rank, as near and as far ahead as it may lie.
func (x *explorer) begin(w world, i int, l *Leader) {
	for holder := range ranks {
		for _, ahead := range []int64{Ahead, w.Guards[holder].most()} {
			n, c := w, l.Clone()
			if v, ok := c.Begin(holder, ahead); ok {
				// Two leaders that give one version to two maps split the group without any rank noticing.
				x.bad = x.bad || v/versionsPerFence != int64(i+1)
				n.Leads[i].set(c)
				n.Leads[i].Begun++
				x.push(n)
			}
		}
	}
}

// order plays one order of a leader to a rank: answered, carried out without an answer, lost on the way to be carried out late.
func (x *explorer) order(w world, i int, l *Leader, r int, o Order) {
	g := w.Guards[r]
	switch x.b.mutation {
	case "no_guard":
		g.Fence = 0
	case "reuse_step":
		g.Floor = 0
	case "no_margin_after_restart":
		if !g.Seen {
			g.Observe(w.state(r))
			g.Floor = w.Step
		}
	}
	answer, send := g.Judge(o, w.state(r))
	if x.b.mutation == "answer_before_clean" && answer == AnswerWait && o.Op == OpAsk {
		answer = AnswerDone
	}
	w.Guards[r] = g
	switch answer {
	case AnswerRefused:
		w.Leads[i].Alive = false
		w.Leads[i].Next = -1
		x.push(w)
	case AnswerWrong, AnswerDone:
		x.answered(w, i, l, r, o, answer == AnswerDone)
	case AnswerWait:
		x.push(w)
	case AnswerSend:
		n := w
		n.execute(r, send.Op, send.Epoch, send.Version, send.Step)
		x.push(n)
		again, _ := g.Judge(o, n.state(r))
		n.Guards[r] = g
		x.answered(n, i, l, r, o, again == AnswerDone)
		if w.addLate(x.b.late, late{Epoch: send.Epoch, Rank: r, Op: send.Op, V: send.Version, N: send.Step}) {
			x.push(w)
		}
	}
}

func (x *explorer) answered(w world, i int, l *Leader, r int, o Order, done bool) {
	x.push(w)
	c := l.Clone()
	c.Answered(r, o, done, w.state(r))
	w.Leads[i].set(c)
	x.push(w)
}
