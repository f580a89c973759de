package shift

import (
	"os"
	"strconv"
	"testing"
)

// The exploration runs the shipped code with two ranks and two leaders, of which the first may
// continue after the second has begun, in every order of steps, orders, lost answers, orders
// executed late and agent restarts.

// statesInCI limits one exploration to a few seconds.
const statesInCI = 150_000

// statesWanted returns the number of states that one exploration visits at most.
func statesWanted(t *testing.T) int {
	t.Helper()
	s := os.Getenv("GERANIUMPASS_EXPLORE")
	if s == "" {
		return statesInCI
	}
	n, err := strconv.Atoi(s)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

func TestExploreNeverTwoMaps(t *testing.T) {
	exploreBounds(t, statesWanted(t), []boundsTest{
		{"one leader, late orders", bounds{maxAhead: 3, steps: 6, late: 2, leaders: 1, switches: 2}},
		{"two leaders, one late order", bounds{maxAhead: 3, steps: 4, late: 1, leaders: 2, switches: 1}},
		{"two leaders, late orders", bounds{maxAhead: 3, steps: 5, late: 2, leaders: 2, switches: 1}},
		{"one leader, a restart", bounds{maxAhead: 3, steps: 9, late: 1, leaders: 1, switches: 2, restarts: 1}},
		{"one leader, the group forms anew", bounds{maxAhead: 3, steps: 5, late: 2, leaders: 1, switches: 2, breaks: 1}},
		{"two leaders, a restart, the group forms anew", bounds{maxAhead: 3, steps: 8, late: 1, leaders: 2, switches: 1, restarts: 1, breaks: 1}},
		{"two leaders, a restart", bounds{maxAhead: 3, steps: 9, late: 2, leaders: 2, switches: 1, restarts: 1}},
		{"two leaders of two switches, a restart", bounds{maxAhead: 3, steps: 9, late: 0, leaders: 2, switches: 2, restarts: 1}},
		{"one leader, a restart, holds up to two ahead", bounds{maxAhead: 2, steps: 7, late: 1, leaders: 1, switches: 2, restarts: 1}},
		{"two leaders, a restart, holds up to two ahead", bounds{maxAhead: 2, steps: 7, late: 1, leaders: 2, switches: 1, restarts: 1}},
		{"one leader, late orders, holds as far as they ship", bounds{maxAhead: MaxAhead, steps: 10, late: 2, leaders: 1, switches: 2}},
		{"one leader, a restart, holds as far as they ship", bounds{maxAhead: MaxAhead, steps: 16, late: 1, leaders: 1, switches: 2, restarts: 1}},
	})
}

// boundsTest is an exploration that must find no violation.
type boundsTest struct {
	name string
	b    bounds
}

func exploreBounds(t *testing.T, most int, tests []boundsTest) {
	t.Helper()
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tt.b.states = most
			x := &explorer{t: t, b: tt.b}
			n, bad := x.run()
			if bad {
				for _, w := range x.trace() {
					t.Logf("%+v", w)
				}
				t.Fatalf("invariant violated after %d states", n)
			}
			t.Logf("%d states, complete: %v", n, n < most)
		})
	}
}

// TestExploreGroupGoesOn guards against a group that stands for good, or has two maps, because an agent goes on
// trying an order after its leader has gone on to another phase.
func TestExploreGroupGoesOn(t *testing.T) {
	exploreBounds(t, statesWanted(t), []boundsTest{
		{"one leader", bounds{maxAhead: 3, steps: 6, leaders: 1, switches: 2, attempts: true}},
		{"one leader, late orders", bounds{maxAhead: 3, steps: 6, late: 2, leaders: 1, switches: 2, attempts: true}},
		{"one leader, a restart", bounds{maxAhead: 3, steps: 9, late: 1, leaders: 1, switches: 2, restarts: 1, attempts: true}},
		{"one leader, the group forms anew", bounds{maxAhead: 3, steps: 5, late: 1, leaders: 1, switches: 2, breaks: 1, attempts: true}},
		{"two leaders", bounds{maxAhead: 3, steps: 5, late: 1, leaders: 2, switches: 1, attempts: true}},
		{"two leaders, a restart", bounds{maxAhead: 3, steps: 8, late: 1, leaders: 2, switches: 1, restarts: 1, attempts: true}},
	})
}

func TestExploreDetectsMutations(t *testing.T) {
	tests := []struct {
		mutation string
		b        bounds
	}{
		{"no_guard", bounds{maxAhead: 3, steps: 5, late: 1, leaders: 2, switches: 1}},
		{"back_after_arm", bounds{maxAhead: 3, steps: 6, late: 1, leaders: 1, switches: 2}},
		{"arm_before_hold", bounds{maxAhead: 3, steps: 6, late: 1, leaders: 1, switches: 1}},
		{"go_before_all_armed", bounds{maxAhead: 3, steps: 6, late: 1, leaders: 1, switches: 1}},
		{"reuse_step", bounds{maxAhead: 3, steps: 3, late: 1, leaders: 1, switches: 2}},
		{"answer_before_clean", bounds{maxAhead: 3, steps: 5, late: 2, leaders: 2, switches: 1}},
		{"no_margin_after_restart", bounds{maxAhead: 2, steps: 7, late: 1, leaders: 1, switches: 2, restarts: 1}},
		{"blind_after_restart", bounds{maxAhead: 3, steps: 9, late: 1, leaders: 1, switches: 1, restarts: 1}},
	}
	for _, tt := range tests {
		t.Run(tt.mutation, func(t *testing.T) {
			tt.b.mutation = tt.mutation
			tt.b.states = 3_000_000
			x := &explorer{t: t, b: tt.b}
			if n, bad := x.run(); !bad {
				t.Fatalf("%d states without an invariant violation", n)
			} else {
				t.Logf("invariant violated after %d states", n)
			}
		})
	}
}
