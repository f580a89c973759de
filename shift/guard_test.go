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
