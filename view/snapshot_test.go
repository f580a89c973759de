package view

import (
	"testing"

	"geraniumpass/core"
	"geraniumpass/plan"
)

// TestSuccessor guards against sending requests to terminated instances after all machines lost
// power. The instances restart under new IDs at the same addresses, while the old entries are still
// listed or kept because many disappeared at once.
func TestSuccessor(t *testing.T) {
	before := core.Instance{ID: "i-1", Service: "s", Address: "a:1", Rev: 3}
	after := core.Instance{ID: "i-2", Service: "s", Address: "a:1", Rev: 9}
	reused := core.Instance{ID: "i-4", Service: "t", Address: "a:1", Rev: 9}
	other := core.Instance{ID: "i-3", Service: "s", Address: "b:1", Rev: 3}
	unnamed := core.Instance{ID: "i-5", Service: "nobody's", Address: "a:1", Rev: 9}
	table := (&plan.Table{
		Version:  1,
		Services: []plan.Service{{Name: "s"}, {Name: "t"}},
	}).Compile()
	tests := []struct {
		name  string
		list  []core.Instance
		ended bool
	}{
		{"alone", []core.Instance{before, other}, false},
		{"listed first", []core.Instance{before, after, other}, true},
		{"listed last", []core.Instance{after, other, before}, true},
		{"address goes to another service", []core.Instance{before, reused}, true},
		{"entry of a service that nobody names", []core.Instance{before, unnamed}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := (&Snapshot{Table: table, Instances: tt.list}).index()
			if next, ended := s.Successor(before); ended != tt.ended {
				t.Errorf("superseded: %v by %s, want %v", ended, next.ID, tt.ended)
			}
			for _, in := range tt.list {
				if _, ended := s.Successor(in); ended && in.ID != before.ID {
					t.Errorf("%s counts as superseded", in.ID)
				}
			}
		})
	}
}
