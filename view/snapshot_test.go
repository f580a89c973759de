package view

import (
	"testing"

	"geraniumpass/core"
)

// TestAddressBelongsToTheNewest has all machines lose power: their instances come back under new ids at the same addresses, while the entries
// of before are still listed, or kept because many vanished at once.
func TestAddressBelongsToTheNewest(t *testing.T) {
	before := core.Instance{ID: "i-1", Service: "s", Address: "a:1", Rev: 3}
	after := core.Instance{ID: "i-2", Service: "s", Address: "a:1", Rev: 9}
	other := core.Instance{ID: "i-3", Service: "s", Address: "b:1", Rev: 3}
	for _, list := range [][]core.Instance{{before, after, other}, {after, other, before}} {
		s := (&Snapshot{Instances: list}).index()
		if !s.Superseded(before) || s.Superseded(after) || s.Superseded(other) {
			t.Errorf("superseded: %v %v %v, want the first alone", s.Superseded(before), s.Superseded(after), s.Superseded(other))
		}
	}
}
