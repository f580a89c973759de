package group

import (
	"testing"
	"time"

	"geraniumpass/core"
	"geraniumpass/loads"
	"geraniumpass/shift"
)

// TestSightKnowsWorkOfGroup guards against a rank without requests that reads its engine at the idle
// interval while the others work, and so tells late that a stall has ended, and against an idle group
// that counts as stalled by loads of the past.
func TestSightKnowsWorkOfGroup(t *testing.T) {
	tests := []struct {
		name    string
		running [2]int
		age     time.Duration
		epoch   int64
		own     int
		want    bool
	}{
		{"nobody has requests", [2]int{0, 0}, 0, 1, 0, false},
		{"the own rank has, unknown to the leader", [2]int{0, 0}, 0, 1, 3, true},
		{"the own rank had", [2]int{3, 0}, 0, 1, 0, false},
		{"another rank has", [2]int{0, 3}, 0, 1, 0, true},
		{"another rank had when the leader was last heard", [2]int{0, 3}, loadTTL, 1, 0, false},
		{"another rank had in an earlier epoch", [2]int{0, 3}, 0, 2, 0, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now := time.Unix(1_000, 0)
			var s sight
			s.observe(now, &Report{Group: "g", Size: 2, State: shift.State{Epoch: 1}})
			s.setRanks(now, []loads.Rank{{Running: tt.running[0]}, {Running: tt.running[1]}})
			busy := s.observe(now.Add(tt.age), &Report{Group: "g", Size: 2, State: shift.State{Epoch: tt.epoch}, Running: tt.own})
			if busy != tt.want {
				t.Errorf("busy is %v, want %v", busy, tt.want)
			}
		})
	}
}

// TestSightKeepsStartsOfEpoch guards against a new leader whose first loads make the instances of ranks
// that it has not heard yet unknown, and against starts that are kept for other ranks of a later epoch.
func TestSightKeepsStartsOfEpoch(t *testing.T) {
	now := time.Unix(1_000, 0)
	first := core.Start{ID: "i-0"}
	var s sight
	s.observe(now, &Report{Group: "g", Size: 2, State: shift.State{Epoch: 1}})
	s.setRanks(now, []loads.Rank{{Start: first}, {}})
	version := s.startsVersion
	s.setRanks(now, []loads.Rank{{}, {}})
	if s.ranks[0].Start != first || s.startsVersion != version {
		t.Error("a leader that has not heard a rank makes its instance unknown")
	}
	s.observe(now, &Report{Group: "g", Size: 2, State: shift.State{Epoch: 2}})
	s.setRanks(now, []loads.Rank{{}, {}})
	if s.ranks[0].Start == first || s.startsVersion == version {
		t.Error("kept the start of an earlier epoch")
	}
}
