package view

import (
	"slices"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"geraniumpass/core"
)

// TestEvacuatedDomainsAreNotUsable guards against sending requests to a failure domain that an
// operator evacuates, however the entry learns of it.
func TestEvacuatedDomainsAreNotUsable(t *testing.T) {
	list := []core.Instance{
		{ID: "i-a", Service: "s", Domain: "a"},
		{ID: "i-b", Service: "s", Domain: "b"},
		{ID: "i-c", Service: "s", Domain: "c"},
	}
	v := NewCache("front-1", clockwork.NewFakeClock(), hclog.NewNullLogger())
	tests := []struct {
		name  string
		learn func()
		want  []string
	}{
		{"a full read", func() {
			v.Apply(Change{Rev: 1, Full: true, Put: list, Evacuated: map[string]bool{"a": true}})
		}, []string{"i-b", "i-c"}},
		{"a change of something else", func() { v.Apply(Change{Rev: 2}) }, []string{"i-b", "i-c"}},
		{"a second domain", func() { v.Apply(Change{Rev: 3, Evacuated: map[string]bool{"b": true}}) }, []string{"i-c"}},
		{"an unknown domain", func() { v.Apply(Change{Rev: 4, Evacuated: map[string]bool{"z": true}}) }, []string{"i-c"}},
		{"all domains", func() { v.Apply(Change{Rev: 5, Evacuated: map[string]bool{"c": true}}) }, nil},
		{"the first ends", func() { v.Apply(Change{Rev: 6, Evacuated: map[string]bool{"a": false}}) }, []string{"i-a"}},
		{"a late read", func() { v.Apply(Change{Rev: 4, Evacuated: map[string]bool{"a": true}}) }, []string{"i-a"}},
		{"a peer's snapshot", func() {
			v.Adopt(&Snapshot{Rev: 7, Instances: list, Evacuated: map[string]bool{"c": true}})
		}, []string{"i-a", "i-b"}},
		{"a full read without any", func() { v.Apply(Change{Rev: 8, Full: true, Put: list}) }, []string{"i-a", "i-b", "i-c"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tt.learn()
			var got []string
			for _, in := range v.Now().Usable("s") {
				got = append(got, in.ID)
			}
			if !slices.Equal(got, tt.want) {
				t.Errorf("usable: %v, want %v", got, tt.want)
			}
		})
	}
}
