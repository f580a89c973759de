package loads

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// TestFewGroupsWithRoomAreNotFilled guards against entries that all send what they keep from groups with
// long steps to the few others until the next status, since they see the same ones. Load: all groups but
// one or two are late with nine requests of ten at each rank, those have five, and another one is full; streams last 2.5 s and entries
// see statuses 0.25 s late, so that a tenth of the load comes meanwhile, whether from 9 or from 864 entries.
func TestFewGroupsWithRoomAreNotFilled(t *testing.T) {
	const (
		running    = 9
		arrivals   = running * testRanks / 10
		room       = (running - 5) * testRanks
		tolerance  = 1.25
		lateGroup  = 140 * time.Millisecond
		fewestSent = 0.75
	)
	tests := []struct {
		late  int
		sound int
	}{{1, 1}, {17, 1}, {35, 1}, {34, 2}}
	for _, tt := range tests {
		t.Run(fmt.Sprint(tt.late, " late, ", tt.sound, " sound"), func(t *testing.T) {
			list := []Status{newStatus("full", testSlots+2, nil)}
			for i := range tt.sound {
				list = append(list, newStatus(fmt.Sprint("b-", i), 5, nil))
			}
			for i := range tt.late {
				list = append(list, newStatus(fmt.Sprint("a-", i), running, steps(lateGroup)))
			}
			groups := byName(list)
			random := rand.New(rand.NewPCG(1, 2))
			moved := 0
			for range tt.late * arrivals {
				if len(Delayed(groups, testGap, testSlots, random.Float64())) > 0 {
					moved++
				}
			}
			want := float64(min(tt.late*arrivals, tt.sound*room))
			if got := float64(moved); got > tolerance*want || got < fewestSent*want {
				t.Errorf("%d of %d requests go to groups with room for %d", moved, tt.late*arrivals, tt.sound*room)
			}
		})
	}
}
