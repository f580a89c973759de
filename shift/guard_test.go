package shift

import "testing"

// TestGuardRequiresAskBeforeOrders sends orders to a restarted guard, which cannot tell a stale
// leader from the newest one.
func TestGuardRequiresAskBeforeOrders(t *testing.T) {
	tests := []struct {
		name  string
		state State
		asks  []int64
		fence int64
		want  Verdict
	}{
		{"nobody has asked", State{Epoch: 1, Prepared: None, Armed: None, Held: None}, nil, 1, VerdictMismatch},
		{"the leader has asked", State{Epoch: 1, Prepared: None, Armed: None, Held: None}, []int64{1}, 1, VerdictForward},
		{"a later one has asked since", State{Epoch: 1, Prepared: None, Armed: None, Held: None}, []int64{1, 2}, 1, VerdictRefused},
		{"the engine has a later one's map", State{Epoch: 1, Map: 2*versionsPerFence + 1, Prepared: None, Armed: None, Held: None}, []int64{1}, 1, VerdictRefused},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var g Guard
			for _, fence := range tt.asks {
				g.Evaluate(Order{Fence: fence, Op: OpAsk}, tt.state)
			}
			o := Order{Fence: tt.fence, Op: OpPrepare, Epoch: 1, Version: tt.fence*versionsPerFence + 1}
			if got, _ := g.Evaluate(o, tt.state); got != tt.want {
				t.Errorf("got %d, want %d", got, tt.want)
			}
		})
	}
}

// TestGuardAfterEngineRestart restarts an engine within one epoch: its holds are gone, and a late
// order to the earlier start may still name an upcoming step.
func TestGuardAfterEngineRestart(t *testing.T) {
	s := State{EngineStart: 100, Epoch: 1, Step: 1, Prepared: None, Armed: None, Held: None}
	var g Guard
	g.Evaluate(Order{Fence: 1, Op: OpAsk}, s)
	s.Step = 20
	verdict, first := g.Evaluate(Order{Fence: 1, Op: OpHold, Epoch: 1}, s)
	if verdict != VerdictForward {
		t.Fatalf("hold not forwarded: verdict %d", verdict)
	}
	s.EngineStart = 200
	g.Observe(s)
	late := s
	late.Held = first.Step
	if g.OrphanedHold(late) != first.Step {
		t.Error("a late hold of the earlier engine start is not orphaned")
	}
	if verdict, early := g.Evaluate(Order{Fence: 1, Op: OpHold, Epoch: 1}, s); verdict == VerdictForward && early.Step <= s.Step+g.holdWindow() {
		t.Errorf("step %d is held although a late order to the earlier engine start may name it", early.Step)
	}
	s.Step += g.holdWindow()
	verdict, second := g.Evaluate(Order{Fence: 1, Op: OpHold, Epoch: 1}, s)
	if verdict != VerdictForward || second.Step <= first.Step {
		t.Errorf("verdict %d, step %d after step %d was held at the earlier engine start", verdict, second.Step, first.Step)
	}
}

// TestLeaderAfterEngineRestart restarts a rank's engine during a switch and then delivers a delayed
// state of the earlier start.
func TestLeaderAfterEngineRestart(t *testing.T) {
	s := State{EngineStart: 100, Epoch: 1, Open: true, Prepared: None, Armed: None, Held: None}
	l := NewLeader(1, 1)
	l.HandleAnswer(0, Order{Fence: 1, Op: OpAsk}, true, s)
	if _, ok := l.Begin(0, MinAhead); !ok {
		t.Fatal("switch did not start")
	}
	again := s
	again.EngineStart = 200
	l.Observe(0, again)
	if l.Phase != PhaseAsk {
		t.Errorf("phase %s after an engine restart, want ask", l.Phase)
	}
	l.HandleAnswer(0, Order{Fence: 1, Op: OpAsk}, true, s)
	if l.Phase != PhaseAsk {
		t.Errorf("phase %s after a stale answer of the earlier engine start, want ask", l.Phase)
	}
	l.HandleAnswer(0, Order{Fence: 1, Op: OpAsk}, true, again)
	l.Observe(0, s)
	if l.Phase != PhaseIdle || l.Ranks[0].EngineStart != 200 {
		t.Errorf("after a stale state of the earlier engine start: phase %s, engine start %d", l.Phase, l.Ranks[0].EngineStart)
	}
}

// TestHoldDistance checks the distance of a hold for several requested distances, up to the limit
// that a restarted agent relies on.
func TestHoldDistance(t *testing.T) {
	tests := []struct {
		name  string
		asked int64
		lossy bool
		want  int64
	}{
		{"a leader that asks for none", 0, false, MinAhead},
		{"the next step", 1, false, 1},
		{"four steps", 4, false, 4},
		{"as far as may be", MaxAhead, false, MaxAhead},
		{"farther", MaxAhead + 5, false, MaxAhead},
		{"near while orders get lost here", 1, true, MinAheadLossy},
		{"far while orders get lost here", 5, true, 5},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := State{Epoch: 1, Open: true, Step: 20, Prepared: None, Armed: None, Held: None}
			l := NewLeader(1, 1)
			l.HandleAnswer(0, Order{Fence: 1, Op: OpAsk}, true, s)
			if _, ok := l.Begin(0, tt.asked); !ok {
				t.Fatal("switch did not start")
			}
			prepare := l.Orders()[0]
			s.Prepared = l.Version
			l.HandleAnswer(0, prepare, true, s)
			g := Guard{Lossy: tt.lossy}
			// The raised Floor after a restart has been passed.
			g.Observe(State{Epoch: 1, Open: true, Prepared: None, Armed: None, Held: None})
			g.Evaluate(Order{Fence: 1, Op: OpAsk}, s)
			verdict, send := g.Evaluate(l.Orders()[0], s)
			if verdict != VerdictForward || send.Op != OpHold || send.Step != s.Step+tt.want {
				t.Errorf("verdict %d, %s of step %d, want a hold %d ahead of %d", verdict, send.Op, send.Step, tt.want, s.Step)
			}
		})
	}
}
