package shift

import (
	"os"
	"strconv"
	"testing"
)

// The exploration plays two ranks and two leaders, of whom the first may go on after the second began, in every order of passes,
// orders, lost answers, orders carried out late and restarts of agents, against the code that ships.

// statesInCI keeps one exploration below a few seconds.
const statesInCI = 150_000

func TestExploreNeverTwoMaps(t *testing.T) {
	most := statesInCI
	if s := os.Getenv("GERANIUMPASS_EXPLORE"); s != "" {
		n, err := strconv.Atoi(s)
		if err != nil {
			t.Fatal(err)
		}
		most = n
	}
	tests := []struct {
		name string
		b    bounds
	}{
		{"one leader, late orders", bounds{most: 3, steps: 6, late: 2, leaders: 1, switches: 2}},
		{"two leaders, one late order", bounds{most: 3, steps: 4, late: 1, leaders: 2, switches: 1}},
		{"two leaders, late orders", bounds{most: 3, steps: 5, late: 2, leaders: 2, switches: 1}},
		{"one leader, a restart", bounds{most: 3, steps: 9, late: 1, leaders: 1, switches: 2, restarts: 1}},
		{"one leader, the group forms anew", bounds{most: 3, steps: 5, late: 2, leaders: 1, switches: 2, breaks: 1}},
		{"two leaders, a restart, the group forms anew", bounds{most: 3, steps: 8, late: 1, leaders: 2, switches: 1, restarts: 1, breaks: 1}},
		{"two leaders, a restart", bounds{most: 3, steps: 9, late: 2, leaders: 2, switches: 1, restarts: 1}},
		{"two leaders of two switches, a restart", bounds{most: 3, steps: 9, late: 0, leaders: 2, switches: 2, restarts: 1}},
		{"one leader, a restart, holds up to two ahead", bounds{most: 2, steps: 7, late: 1, leaders: 1, switches: 2, restarts: 1}},
		{"two leaders, a restart, holds up to two ahead", bounds{most: 2, steps: 7, late: 1, leaders: 2, switches: 1, restarts: 1}},
		{"one leader, late orders, holds as far as they ship", bounds{most: AheadMost, steps: 10, late: 2, leaders: 1, switches: 2}},
		{"one leader, a restart, holds as far as they ship", bounds{most: AheadMost, steps: 16, late: 1, leaders: 1, switches: 2, restarts: 1}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tt.b.states = most
			x := &explorer{t: t, b: tt.b}
			n, bad := x.run()
			if bad {
				for _, w := range x.trace() {
					t.Logf("%+v", w)
				}
				t.Fatalf("two maps in a pass after %d states", n)
			}
			t.Logf("%d states, whole: %v", n, n < most)
		})
	}
}

func TestExploreFindsWhatIsTakenOut(t *testing.T) {
	tests := []struct {
		mutation string
		b        bounds
	}{
		{"no_guard", bounds{most: 3, steps: 5, late: 1, leaders: 2, switches: 1}},
		{"back_after_arm", bounds{most: 3, steps: 6, late: 1, leaders: 1, switches: 2}},
		{"arm_before_hold", bounds{most: 3, steps: 6, late: 1, leaders: 1, switches: 1}},
		{"go_before_all_armed", bounds{most: 3, steps: 6, late: 1, leaders: 1, switches: 1}},
		{"reuse_step", bounds{most: 3, steps: 3, late: 1, leaders: 1, switches: 2}},
		{"answer_before_clean", bounds{most: 3, steps: 5, late: 2, leaders: 2, switches: 1}},
		{"no_margin_after_restart", bounds{most: 2, steps: 7, late: 1, leaders: 1, switches: 2, restarts: 1}},
		{"blind_after_restart", bounds{most: 3, steps: 9, late: 1, leaders: 1, switches: 1, restarts: 1}},
	}
	for _, tt := range tests {
		t.Run(tt.mutation, func(t *testing.T) {
			tt.b.mutation = tt.mutation
			tt.b.states = 3_000_000
			x := &explorer{t: t, b: tt.b}
			if n, bad := x.run(); !bad {
				t.Fatalf("%d states without two maps", n)
			} else {
				t.Logf("two maps after %d states", n)
			}
		})
	}
}
