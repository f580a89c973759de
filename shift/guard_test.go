package shift

import "testing"

// TestOnlyWhoHasAskedMayOrder has orders reach a guard that was restarted: it can't tell an old leader from the newest.
func TestOnlyWhoHasAskedMayOrder(t *testing.T) {
	tests := []struct {
		name  string
		state State
		asks  []int64
		fence int64
		want  Answer
	}{
		{"nobody has asked", State{Epoch: 1, Prepared: None, Armed: None, Held: None}, nil, 1, AnswerWrong},
		{"the leader has asked", State{Epoch: 1, Prepared: None, Armed: None, Held: None}, []int64{1}, 1, AnswerSend},
		{"a later one has asked since", State{Epoch: 1, Prepared: None, Armed: None, Held: None}, []int64{1, 2}, 1, AnswerRefused},
		{"the engine has a later one's map", State{Epoch: 1, Map: 2*versionsPerFence + 1, Prepared: None, Armed: None, Held: None}, []int64{1}, 1, AnswerRefused},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var g Guard
			for _, fence := range tt.asks {
				g.Judge(Order{Fence: fence, Op: OpAsk}, tt.state)
			}
			o := Order{Fence: tt.fence, Op: OpPrepare, Epoch: 1, Version: tt.fence*versionsPerFence + 1}
			if got, _ := g.Judge(o, tt.state); got != tt.want {
				t.Errorf("got %d, want %d", got, tt.want)
			}
		})
	}
}

// TestEngineThatStartsAgain has an engine start again within one epoch: what its earlier start held is gone, and a late order to that may
// still name a step to come.
func TestEngineThatStartsAgain(t *testing.T) {
	s := State{Born: 100, Epoch: 1, Step: 1, Prepared: None, Armed: None, Held: None}
	var g Guard
	g.Judge(Order{Fence: 1, Op: OpAsk}, s)
	s.Step = 20
	ans, first := g.Judge(Order{Fence: 1, Op: OpHold, Epoch: 1}, s)
	if ans != AnswerSend {
		t.Fatalf("a hold was not sent: %d", ans)
	}
	s.Born = 200
	g.Observe(s)
	late := s
	late.Held = first.Step
	if g.Unwanted(late) != first.Step {
		t.Error("a late hold of the earlier start counts as wanted")
	}
	if ans, early := g.Judge(Order{Fence: 1, Op: OpHold, Epoch: 1}, s); ans == AnswerSend && early.Step <= s.Step+g.furthest() {
		t.Errorf("step %d is held while a late order to the earlier start may name it", early.Step)
	}
	s.Step += g.furthest()
	ans, second := g.Judge(Order{Fence: 1, Op: OpHold, Epoch: 1}, s)
	if ans != AnswerSend || second.Step <= first.Step {
		t.Errorf("answer %d, step %d after step %d was held at the earlier start", ans, second.Step, first.Step)
	}
}

// TestLeaderMeetsAnotherStart has a rank's engine start again in the middle of a switch, and a late word of its earlier start come after.
func TestLeaderMeetsAnotherStart(t *testing.T) {
	s := State{Born: 100, Epoch: 1, Open: true, Prepared: None, Armed: None, Held: None}
	l := NewLeader(1, 1)
	l.Answered(0, Order{Fence: 1, Op: OpAsk}, true, s)
	if _, ok := l.Begin(0, Ahead); !ok {
		t.Fatal("no switch begun")
	}
	again := s
	again.Born = 200
	l.Take(0, again)
	if l.Phase != PhaseAsk {
		t.Errorf("in phase %s after the engine started again, want to ask all", l.Phase)
	}
	l.Answered(0, Order{Fence: 1, Op: OpAsk}, true, s)
	if l.Phase != PhaseAsk {
		t.Errorf("in phase %s after an answer of the earlier start, want to ask on", l.Phase)
	}
	l.Answered(0, Order{Fence: 1, Op: OpAsk}, true, again)
	l.Take(0, s)
	if l.Phase != PhaseIdle || l.Ranks[0].Born != 200 {
		t.Errorf("a late word of the earlier start changed phase %s, born %d", l.Phase, l.Ranks[0].Born)
	}
}

// TestHoldLiesAsFarAheadAsAsked has a leader ask for holds at several distances, within what a restarted agent can reckon with.
func TestHoldLiesAsFarAheadAsAsked(t *testing.T) {
	tests := []struct {
		name  string
		asked int64
		lossy bool
		want  int64
	}{
		{"a leader that asks for none", 0, false, Ahead},
		{"the next step", 1, false, 1},
		{"four steps", 4, false, 4},
		{"as far as may be", AheadMost, false, AheadMost},
		{"farther", AheadMost + 5, false, AheadMost},
		{"near while orders get lost here", 1, true, AheadLossy},
		{"far while orders get lost here", 5, true, 5},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := State{Epoch: 1, Open: true, Step: 20, Prepared: None, Armed: None, Held: None}
			l := NewLeader(1, 1)
			l.Answered(0, Order{Fence: 1, Op: OpAsk}, true, s)
			if _, ok := l.Begin(0, tt.asked); !ok {
				t.Fatal("no switch begun")
			}
			prepare := l.Orders()[0]
			s.Prepared = l.Version
			l.Answered(0, prepare, true, s)
			g := Guard{Lossy: tt.lossy}
			// The margin after a start is long behind.
			g.Observe(State{Epoch: 1, Open: true, Prepared: None, Armed: None, Held: None})
			g.Judge(Order{Fence: 1, Op: OpAsk}, s)
			ans, send := g.Judge(l.Orders()[0], s)
			if ans != AnswerSend || send.Op != OpHold || send.Step != s.Step+tt.want {
				t.Errorf("answer %d, %s of step %d, want a hold %d ahead of %d", ans, send.Op, send.Step, tt.want, s.Step)
			}
		})
	}
}
