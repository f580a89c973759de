package epmap

import (
	"fmt"
	"os"
	"strconv"
	"testing"

	"github.com/samber/lo"
	"pgregory.net/rapid"

	"geraniumpass/check"
)

// explore visits the reachable states, at most limit of them. It returns the number visited and
// whether one of them has a step under two maps.
func explore(b bounds, mut mutation, limit int) (states int, found bool, trace string) {
	start := newWorld(b)
	seen := map[string]struct{}{start.key(): {}}
	stack := []*world{start}
	for len(stack) > 0 {
		w := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		if s, bad := w.mapConflict(); bad {
			return len(seen), true, fmt.Sprintf("step %d: %v; engines %+v", s, w.used[s], w.engines)
		}
		if len(seen) >= limit {
			return len(seen), false, "limit"
		}
		w.successors(b, mut, func(n *world) {
			n.prune()
			k := n.key()
			if _, ok := seen[k]; !ok {
				seen[k] = struct{}{}
				stack = append(stack, n)
			}
		})
	}
	return len(seen), false, ""
}

// exploreLimit bounds the states visited per set of bounds; make explore raises it through
// GERANIUMPASS_EXPLORE.
var exploreLimit = limit()

func limit() int {
	if n, err := strconv.Atoi(os.Getenv("GERANIUMPASS_EXPLORE")); err == nil {
		return n
	}
	return 200_000
}

func TestExploreSwitch(t *testing.T) {
	check.SetFatal(true)
	tests := []struct {
		name   string
		bounds bounds
	}{
		{name: "two ranks, two leaders", bounds: bounds{ranks: 2, leaders: 2, steps: 1}},
		{name: "two ranks, one leader, a restart and an abort", bounds: bounds{ranks: 2, leaders: 1, steps: 1, restarts: 1, aborts: 1}},
		{name: "two ranks, two leaders, a restart", bounds: bounds{ranks: 2, leaders: 2, steps: 1, restarts: 1}},
		{name: "three ranks, one leader, a restart and an abort", bounds: bounds{ranks: 3, leaders: 1, steps: 1, restarts: 1, aborts: 1}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			states, found, trace := explore(tt.bounds, noMutation, exploreLimit)
			t.Logf("%d states, %s", states, lo.Ternary(trace == "limit", "state limit reached", "all reachable states"))
			if found || trace != "" && trace != "limit" {
				t.Errorf("after %d states: %s", states, trace)
			}
		})
	}
}

func TestExploreDetectsMutations(t *testing.T) {
	small := bounds{ranks: 2, leaders: 2, steps: 1}
	tests := []struct {
		mutation mutation
		bounds   bounds
	}{
		{mutation: noFence, bounds: small},
		{mutation: noCap, bounds: small},
		{mutation: smallQuorum, bounds: small},
		{mutation: uncapGranted, bounds: small},
		{mutation: noInquiry, bounds: small},
	}
	for _, tt := range tests {
		t.Run(string(tt.mutation), func(t *testing.T) {
			check.SetFatal(false)
			states, found, _ := explore(tt.bounds, tt.mutation, 3*exploreLimit)
			if !found {
				t.Errorf("no step under two maps in %d states", states)
			}
		})
	}
}

// TestRandomSwitches takes random walks through groups too large to explore exhaustively.
func TestRandomSwitches(t *testing.T) {
	check.SetFatal(true)
	rapid.Check(t, func(t *rapid.T) {
		b := bounds{ranks: rapid.IntRange(2, 5).Draw(t, "ranks"), leaders: 3, steps: 4, restarts: 3, aborts: 2}
		w := newWorld(b)
		for range rapid.IntRange(10, 120).Draw(t, "events") {
			var options []*world
			w.successors(b, noMutation, func(n *world) { options = append(options, n) })
			if len(options) == 0 {
				break
			}
			w = options[rapid.IntRange(0, len(options)-1).Draw(t, "event")]
			w.prune()
			if s, bad := w.mapConflict(); bad {
				t.Fatalf("step %d under two maps: %v", s, w.used[s])
			}
		}
	})
}
