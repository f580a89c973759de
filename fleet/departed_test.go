package fleet

import (
	"maps"
	"testing"
	"time"

	"geraniumpass/core"
)

// TestLeftPassesOverInstancesThatAreBack guards against withholding requests from an instance in use
// once the store is restored, because its entry had disappeared within the minute before.
func TestLeftPassesOverInstancesThatAreBack(t *testing.T) {
	removedAt := time.Unix(1000, 0)
	now := removedAt.Add(departedTTL / 2)
	in := core.Instance{ID: "i", StartedAt: 100}
	restarted := core.Instance{ID: "i", StartedAt: 200}
	left := map[core.Start]int64{in.Start(): 0}
	tests := []struct {
		name string
		back func(r *Registry)
		want map[core.Start]int64
	}{
		{"not back", func(*Registry) {}, left},
		{"in the store", func(r *Registry) { r.Put(in) }, nil},
		{"in a peer's list", func(r *Registry) { r.Adopt([]core.Instance{in}, nil, now) }, nil},
		{"started again, in a peer's list", func(r *Registry) { r.Adopt([]core.Instance{restarted}, nil, now) }, left},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := New()
			r.Put(in)
			r.Remove(in.ID, removedAt)
			tt.back(r)
			if got := r.Left(now); !maps.Equal(got, tt.want) {
				t.Errorf("left: %v, want %v", got, tt.want)
			}
		})
	}
}
