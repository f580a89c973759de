package loads

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"geraniumpass/core"
)

const (
	testRanks = 32
	testSlots = 10
	// testGap is the pause that callers of the streams accept.
	testGap = 120 * time.Millisecond
)

// newStatus returns an open group with the same number of running requests at each rank.
func newStatus(name string, running int, change func(g *Group)) Status {
	s := Status{Group: Group{
		Name:     name,
		Open:     true,
		StepTime: 40 * time.Millisecond,
	}}
	for i := range testRanks {
		s.Ranks = append(s.Ranks, Rank{
			Start:   core.Start{ID: fmt.Sprintf("%s-%d", name, i)},
			Running: running,
			Pace:    1,
		})
	}
	if change != nil {
		change(&s.Group)
	}
	return s
}

func stalledFor(d time.Duration) func(g *Group) {
	return func(g *Group) { g.StalledFor = d }
}

// slowRank makes rank 0 slow with n running requests, and the steps of the group as long as given.
func slowRank(n int, step, stalled time.Duration) func(g *Group) {
	return func(g *Group) {
		g.Ranks[0].Pace = 12
		g.Ranks[0].Running = n
		g.StepTime = step
		g.StalledFor = stalled
	}
}

func closed(g *Group) {
	g.Open = false
}

// TestRequestsLeaveGroupsThatCannotServeThem guards against streams that stay where their next event
// comes later than callers accept, and against moves that gain nothing. Load: two groups of 32 ranks
// with ten slots each, half full. Callers accept 120 ms between events and leave after 2 s without
// one, so a stall has to be acted on within some hundred milliseconds; steps of up to 108 ms, nine
// tenths of the pause, reach them in time. Rank 0 is asked as the slow one, rank 1 as its neighbor.
func TestRequestsLeaveGroupsThatCannotServeThem(t *testing.T) {
	const half = testSlots / 2
	calm := newStatus("b", half, nil)
	tests := []struct {
		name  string
		own   Status
		other Status
		rank  int
		once  bool
		want  Move
	}{
		{name: "all is well", own: newStatus("a", half, nil), other: calm},
		{name: "no step for as long as a busy machine may take", own: newStatus("a", half, stalledFor(250*time.Millisecond)), other: calm},
		{name: "no step for longer", own: newStatus("a", half, stalledFor(350*time.Millisecond)), other: calm, want: Move{Reason: ReasonGroupStalled, Leaves: true}},
		{name: "may run only once", own: newStatus("a", half, stalledFor(4*time.Second)), other: calm, once: true},
		{name: "both stall", own: newStatus("a", half, stalledFor(time.Second)), other: newStatus("b", half, stalledFor(time.Second)), want: Move{Reason: ReasonGroupStalled}},
		{name: "the other is closed", own: newStatus("a", half, stalledFor(time.Second)), other: newStatus("b", half, closed), want: Move{Reason: ReasonGroupStalled}},
		{name: "the other is full", own: newStatus("a", half, stalledFor(time.Second)), other: newStatus("b", testSlots, nil), want: Move{Reason: ReasonGroupStalled}},
		{name: "the other is too slow itself", own: newStatus("a", half, stalledFor(time.Second)), other: newStatus("b", half, slowRank(half, 500*time.Millisecond, 0)), want: Move{Reason: ReasonGroupStalled}},
		{name: "closed a moment ago", own: newStatus("a", half, closed), other: calm, want: Move{Reason: ReasonGroupClosed, Leaves: true}},
		{name: "on the slow rank", own: newStatus("a", half, slowRank(half, 500*time.Millisecond, 200*time.Millisecond)), other: calm, want: Move{Reason: ReasonSlowInstance, Leaves: true}},
		{name: "on the slow rank in its first long step", own: newStatus("a", half, slowRank(half, 40*time.Millisecond, 200*time.Millisecond)), other: calm, want: Move{Reason: ReasonSlowInstance, Leaves: true}},
		{name: "beside the slow rank, in a step as long as it makes them", own: newStatus("a", half, slowRank(half, 900*time.Millisecond, 900*time.Millisecond)), other: calm, rank: 1},
		{name: "beside the slow rank, in a step that it doesn't explain", own: newStatus("a", half, slowRank(half, 900*time.Millisecond, 1600*time.Millisecond)), other: calm, rank: 1, want: Move{Reason: ReasonGroupStalled, Leaves: true}},
		{name: "beside a slow rank that runs nothing", own: newStatus("a", half, slowRank(0, 40*time.Millisecond, 400*time.Millisecond)), other: calm, rank: 1, want: Move{Reason: ReasonGroupStalled, Leaves: true}},
		{name: "on a slow rank that delays nobody", own: newStatus("a", half, slowRank(half, 100*time.Millisecond, 0)), other: calm},
		{name: "on the slow rank, its neighbors have room", own: newStatus("a", half, slowRank(half, 500*time.Millisecond, 0)), other: newStatus("b", testSlots, nil), want: Move{Reason: ReasonSlowInstance, Leaves: true}},
		{name: "on the slow rank, all others are full", own: newStatus("a", testSlots, slowRank(testSlots, 500*time.Millisecond, 0)), other: newStatus("b", testSlots, nil), want: Move{Reason: ReasonSlowInstance}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			groups := map[string]Status{"a": tt.own, "b": tt.other}
			got := Decide(tt.own, groups, Placement{
				Start:      tt.own.Ranks[tt.rank].Start,
				Repeatable: !tt.once,
				Gap:        testGap,
				Aim:        400 * time.Millisecond,
				Slots:      testSlots,
			}, 0.5)
			if got != tt.want {
				t.Errorf("decided %+v, want %+v", got, tt.want)
			}
		})
	}
}

// TestNoMoreLeaveThanOthersTake guards against a stall of one group that overloads the other. Load: a
// stalled group with 200 running and 150 waiting requests, and another one with room for a given
// number. Each request is decided on for itself, as entries do that know nothing of each other, so
// the number that leaves varies by its square root.
func TestNoMoreLeaveThanOthersTake(t *testing.T) {
	for _, room := range []int{0, 40, 160, 320} {
		own := newStatus("a", 0, func(g *Group) {
			g.StalledFor = time.Second
			g.Ranks[0].Running = 200
			g.Ranks[1].Waiting = 150
		})
		other := newStatus("b", testSlots, func(g *Group) {
			for i := range room {
				g.Ranks[i%testRanks].Running--
			}
		})
		random := rand.New(rand.NewPCG(1, 2))
		left := 0
		for range 350 {
			if Decide(own, map[string]Status{"a": own, "b": other}, Placement{
				Repeatable: true,
				Gap:        testGap,
				Slots:      testSlots,
			}, random.Float64()).Leaves {
				left++
			}
		}
		if diff := left - room; diff*diff > 9*room {
			t.Errorf("%d left with room for %d", left, room)
		}
	}
}
