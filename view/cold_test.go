package view

import (
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"geraniumpass/core"
	"geraniumpass/plan"
)

// TestColdInstances checks until when an instance counts as cold. An evacuation's end makes the
// whole domain cold, because its instances may have restarted without having said so yet.
func TestColdInstances(t *testing.T) {
	const cold = 3 * time.Second
	in := core.Instance{ID: "i", Service: "s", Domain: "a", Rev: 1}
	table := (&plan.Table{Version: 1, Services: []plan.Service{{Name: "s", Cold: core.Cold{Duration: cold, Rate: 10}}}}).Compile()
	row := func(rev int64, left time.Duration) []core.Instance {
		next := in
		next.Rev, next.ColdFor = rev, left
		return []core.Instance{next}
	}
	tests := []struct {
		name  string
		learn func(v *Cache)
		want  time.Duration
	}{
		{"warm", func(*Cache) {}, 0},
		{"becomes cold", func(v *Cache) { v.Apply(Change{Rev: 2, Put: row(2, cold)}) }, cold},
		{"cold again in a peer's snapshot", func(v *Cache) { v.Adopt(&Snapshot{Rev: 2, Instances: row(2, cold)}) }, cold},
		{"known row read again", func(v *Cache) {
			v.Apply(Change{Rev: 2, Put: row(2, time.Second)})
			v.Apply(Change{Rev: 3, Full: true, Put: row(2, time.Second)})
		}, time.Second},
		{"evacuation ends", func(v *Cache) {
			v.Apply(Change{Rev: 2, Evacuated: map[string]bool{"a": true}})
			v.Apply(Change{Rev: 3, Evacuated: map[string]bool{"a": false}})
		}, cold},
		{"evacuation of another domain ends", func(v *Cache) {
			v.Apply(Change{Rev: 2, Evacuated: map[string]bool{"b": true}})
			v.Apply(Change{Rev: 3, Evacuated: map[string]bool{"b": false}})
		}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			v := NewCache("front-1", clock, hclog.NewNullLogger())
			v.Apply(Change{Rev: 1, Full: true, Table: table, Put: row(1, 0)})
			tt.learn(v)
			s := v.Now()
			if got := max(0, s.ColdUntil(in).Sub(clock.Now())); got != tt.want {
				t.Errorf("cold for %v, want %v", got, tt.want)
			}
		})
	}
}
