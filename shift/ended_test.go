package shift

import "testing"

// TestOrdersEndWithTheirSwitch guards against an agent that goes on trying an order of a switch that has ended, and
// thereby holds a step that nobody releases, or releases the hold of the next switch.
func TestOrdersEndWithTheirSwitch(t *testing.T) {
	s := State{Epoch: 1, Step: 10, Prepared: None, Armed: None, ArmedStep: None, Held: None}
	var g Guard
	g.Evaluate(Order{Fence: 1, Op: OpAsk}, s)
	s.Step += g.holdWindow()
	order := func(op Op, version int64) Order { return Order{Fence: 1, Op: op, Epoch: 1, Version: version} }
	if verdict, _ := g.Evaluate(order(OpHold, 100_001), s); verdict != VerdictForward {
		t.Fatalf("hold: verdict %d", verdict)
	}
	if verdict, _ := g.Evaluate(order(OpRelease, 100_001), s); verdict != VerdictDone {
		t.Fatalf("release of a hold that the engine doesn't have: verdict %d", verdict)
	}
	if verdict, _ := g.Evaluate(order(OpHold, 100_001), s); verdict != VerdictMismatch {
		t.Errorf("hold of a switch that has ended: verdict %d, want a mismatch", verdict)
	}
	verdict, hold := g.Evaluate(order(OpHold, 100_002), s)
	if verdict != VerdictForward {
		t.Fatalf("hold of the next switch: verdict %d", verdict)
	}
	s.Held = hold.Step
	if verdict, _ := g.Evaluate(order(OpRelease, 100_001), s); verdict != VerdictDone || g.HoldStep != hold.Step {
		t.Errorf("release of the switch before: verdict %d, hold of step %d, want step %d", verdict, g.HoldStep, hold.Step)
	}
	if verdict, end := g.Evaluate(order(OpRelease, 100_002), s); verdict != VerdictForward || end.Step != hold.Step {
		t.Errorf("release of the present switch: verdict %d, step %d, want step %d", verdict, end.Step, hold.Step)
	}
}

// TestIdleLeaderReleasesAnyHold guards against a group that stands for good because the rank that held for the last
// switch holds again.
func TestIdleLeaderReleasesAnyHold(t *testing.T) {
	for held := range ranks {
		l := NewLeader(1, ranks)
		open := State{Epoch: 1, Open: true, Step: 10, Prepared: None, Armed: None, ArmedStep: None, Held: None}
		for r, o := range l.Orders() {
			l.HandleAnswer(r, o, true, open)
		}
		if l.Phase != PhaseIdle {
			t.Fatalf("phase %d after all ranks have answered", l.Phase)
		}
		holding := open
		holding.Held = 12
		l.Observe(held, holding)
		o := l.Orders()[held]
		if o.Op != OpRelease {
			t.Fatalf("rank %d gets the order %s, want a release", held, o.Op)
		}
		l.HandleAnswer(held, o, true, open)
		if l.Phase != PhaseIdle || l.Orders()[held].Op != 0 {
			t.Errorf("phase %d, order %s after the release", l.Phase, l.Orders()[held].Op)
		}
	}
}
