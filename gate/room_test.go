package gate

import (
	"testing"

	"geraniumpass/plan"
)

// TestShedderOfDroppedServiceIsForgotten guards against memory that grows with each service that routing
// tables ever named, and against forgetting what is known of those still in use.
func TestShedderOfDroppedServiceIsForgotten(t *testing.T) {
	s := newShedders(ShedRanked, func() float64 { return 0 })
	old, kept := s.of("old"), s.of("kept")
	table := &plan.Table{
		Services: []plan.Service{{Name: "kept"}},
	}
	s.sweep(table.Compile())
	if s.of("kept") != kept {
		t.Error("the shedder of a service in use was forgotten")
	}
	if s.of("old") == old {
		t.Error("the shedder of a dropped service is still held")
	}
	s.sweep(nil)
	if s.of("kept") != kept {
		t.Error("the shedder of a service was forgotten without a routing table")
	}
}
