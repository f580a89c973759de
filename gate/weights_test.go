package gate

import (
	"testing"
	"time"

	"geraniumpass/core"
)

// TestFailuresBarByWeight guards against an instance that refuses or fails everything and keeps its share
// of the requests, and against one that is barred for a few refusals, which its load alone may cause. The
// load is a number of requests that end at once.
func TestFailuresBarByWeight(t *testing.T) {
	now := time.Unix(1_000, 0)
	tests := []struct {
		name   string
		weight float64
		count  int
		age    time.Duration
		want   bool
	}{
		{name: "three refusals", weight: refusedWeight, count: 3},
		{name: "four refusals", weight: refusedWeight, count: 4, want: true},
		{name: "four refusals a second ago", weight: refusedWeight, count: 4, age: time.Second},
		{name: "eight refusals two seconds ago", weight: refusedWeight, count: 8, age: 2 * time.Second, want: true},
		{name: "eight refusals four seconds ago", weight: refusedWeight, count: 8, age: 4 * time.Second},
		{name: "eight failed answers", weight: failureWeight, count: 8},
		{name: "nine failed answers", weight: failureWeight, count: 9, want: true},
		{name: "two lost streams", weight: lostWeight, count: 2},
		{name: "three lost streams", weight: lostWeight, count: 3, want: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := newLoadTracker()
			start := core.Start{ID: "i-1"}
			for range tt.count {
				l.recordFailure(start, tt.weight, now)
			}
			if got := l.isBarred(start, now.Add(tt.age)); got != tt.want {
				t.Errorf("barred: %v", got)
			}
		})
	}
}
