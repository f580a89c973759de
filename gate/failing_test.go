package gate

import (
	"math/rand/v2"
	"testing"
	"time"

	"geraniumpass/core"
	"geraniumpass/route"
)

// TestFailingInstanceGetsNoRequests guards against load that spills over to an instance that lost
// every request: its failure score decays within seconds, after which a fully loaded neighbor
// looks worse.
func TestFailingInstanceGetsNoRequests(t *testing.T) {
	const (
		together = 12
		slots    = 4
	)
	tests := []struct {
		name string
		// answered is the number of answers begun before the losses, again the number begun after
		// them.
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
			l := newLoadTracker()
			failing, healthy := core.Start{ID: "i-0"}, core.Start{ID: "i-1"}
			now := time.Unix(1_000, 0)
			for range tt.answered {
				l.recordAnswer(failing)
			}
			for range tt.lost {
				l.recordLoss(failing, now)
			}
			for range tt.again {
				l.recordAnswer(failing)
			}
			now = now.Add(tt.since)
			starts := []core.Start{failing, healthy}
			random := rand.New(rand.NewPCG(1, 2))
			got := 0
			for range together {
				var seen []route.InstanceView
				for _, e := range l.estimates(starts, now) {
					seen = append(seen, route.InstanceView{
						Load:       e.load,
						Slots:      slots,
						Penalty:    e.failures * failurePenalty,
						LastResort: e.isBarred(),
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

// TestFailingInstancesAreLastResort guards against a service that rejects everything because each
// of its instances has lost two requests.
func TestFailingInstancesAreLastResort(t *testing.T) {
	l := newLoadTracker()
	starts := []core.Start{{ID: "i-0"}, {ID: "i-1"}}
	now := time.Unix(1_000, 0)
	for range 4 {
		l.recordLoss(starts[0], now)
		l.recordLoss(starts[1], now)
	}
	var seen []route.InstanceView
	for _, b := range l.estimates(starts, now) {
		seen = append(seen, route.InstanceView{
			Slots:      4,
			LastResort: b.isBarred(),
		})
	}
	if i := route.LeastLoaded(seen, "", rand.New(rand.NewPCG(1, 2))); i < 0 {
		t.Error("no instance was picked")
	}
}

// TestFailingInstanceIsLoggedOnce guards against a log line for each request that a failing
// instance loses.
func TestFailingInstanceIsLoggedOnce(t *testing.T) {
	l := newLoadTracker()
	start := core.Start{ID: "i-0"}
	now := time.Unix(1_000, 0)
	failing, recovered := 0, 0
	for range 2 {
		for range 5 {
			if l.recordLoss(start, now) {
				failing++
			}
		}
		for range 3 {
			if l.recordAnswer(start) {
				recovered++
			}
		}
	}
	if failing != 2 || recovered != 2 {
		t.Errorf("reported failing %d times and recovered %d times, want twice each", failing, recovered)
	}
}
