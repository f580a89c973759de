package gate

import (
	"math/rand/v2"
	"testing"
	"time"

	"geraniumpass/core"
	"geraniumpass/route"
)

// TestFailingInstanceIsLeftAlone guards against a crowd that spills over to an instance that has lost every request it was given: the weight
// of two losses is forgotten in a moment, and a full neighbour looks worse than that.
func TestFailingInstanceIsLeftAlone(t *testing.T) {
	const (
		together = 12
		slots    = 4
	)
	tests := []struct {
		name string
		// answered is how many answers the instance began before it lost its requests, again how many after them.
		answered int
		lost     int
		again    int
		since    time.Duration
		least    int
		most     int
	}{
		{name: "lost two of two", lost: 2},
		{name: "lost two of two a while ago", lost: 2, since: 2 * time.Second},
		{name: "lost three of three, as the weight alone no longer bars it", lost: 3, since: time.Second},
		{name: "lost the last two of a hundred", answered: 98, lost: 2},
		{name: "one request finds out later", lost: 2, since: 4 * time.Second, least: 1, most: 1},
		{name: "one request finds out after a long row of losses", lost: 12, since: 12 * time.Second, least: 1, most: 1},
		{name: "answers again", lost: 2, again: 1, least: 2, most: 6},
		{name: "lost one", lost: 1, least: 2, most: 6},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := newLoads()
			failing, sound := core.Start{ID: "i-0"}, core.Start{ID: "i-1"}
			now := time.Unix(1_000, 0)
			for range tt.answered {
				l.answers(failing)
			}
			for range tt.lost {
				l.lost(failing, now)
			}
			for range tt.again {
				l.answers(failing)
			}
			now = now.Add(tt.since)
			starts := []core.Start{failing, sound}
			random := rand.New(rand.NewPCG(1, 2))
			got := 0
			for range together {
				var seen []route.InstanceView
				for _, b := range l.beliefs(starts, now) {
					seen = append(seen, route.InstanceView{
						Load:       b.load,
						Slots:      slots,
						Penalty:    b.failures * failurePenalty,
						LastResort: b.isBarred(),
					})
				}
				i := route.LeastLoaded(seen, "", random)
				l.begin(starts[i])
				if starts[i] == failing {
					got++
				}
			}
			if got < tt.least || got > tt.most {
				t.Errorf("the failing instance got %d of %d requests, want %d to %d", got, together, tt.least, tt.most)
			}
		})
	}
}

// TestOnlyFailingInstanceIsUsed guards against a service that refuses everything because each of its instances has lost two requests.
func TestOnlyFailingInstanceIsUsed(t *testing.T) {
	l := newLoads()
	starts := []core.Start{{ID: "i-0"}, {ID: "i-1"}}
	now := time.Unix(1_000, 0)
	for range 4 {
		l.lost(starts[0], now)
		l.lost(starts[1], now)
	}
	var seen []route.InstanceView
	for _, b := range l.beliefs(starts, now) {
		seen = append(seen, route.InstanceView{
			Slots:      4,
			LastResort: b.isBarred(),
		})
	}
	if i := route.LeastLoaded(seen, "", rand.New(rand.NewPCG(1, 2))); i < 0 {
		t.Error("no instance is left")
	}
}

// TestFailingInstanceIsToldOnce guards against a log line for each request that a failing instance loses.
func TestFailingInstanceIsToldOnce(t *testing.T) {
	l := newLoads()
	start := core.Start{ID: "i-0"}
	now := time.Unix(1_000, 0)
	told, over := 0, 0
	for range 2 {
		for range 5 {
			if l.lost(start, now) {
				told++
			}
		}
		for range 3 {
			if l.answers(start) {
				over++
			}
		}
	}
	if told != 2 || over != 2 {
		t.Errorf("told %d times that it fails and %d times that it answers again, want twice each", told, over)
	}
}
