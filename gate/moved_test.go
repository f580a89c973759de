package gate

import (
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"geraniumpass/core"
	"geraniumpass/loads"
	"geraniumpass/meter"
	"geraniumpass/plan"
	"geraniumpass/view"
)

// TestMovedRequestGoesWhereRoomIsKnown guards against a stream that leaves a stalled group because another
// group has room, and spends its last attempt on an instance of which nothing is known, which may refuse
// it. The load is a group that runs two requests at its only rank, and an instance without a
// known group that looks idle.
func TestMovedRequestGoesWhereRoomIsKnown(t *testing.T) {
	const picks = 50
	tests := []struct {
		name    string
		moved   bool
		stalled time.Duration
		// want is the instance that gets all picks.
		want string
	}{
		{name: "a first try takes the idle one", want: "unknown"},
		{name: "moved", moved: true, want: "known"},
		{name: "moved, and no known group has room", moved: true, stalled: time.Second, want: "unknown"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			clock, log := clockwork.NewFakeClock(), hclog.NewNullLogger()
			list := []core.Instance{
				{ID: "known", Service: "svc", Address: "127.0.0.1:1", Slots: 8},
				{ID: "left", Service: "svc", Address: "127.0.0.1:2", Slots: 8},
				{ID: "unknown", Service: "svc", Address: "127.0.0.1:3", Slots: 8},
			}
			cache := view.NewCache("front-1", clock, log)
			cache.Apply(view.Change{Rev: 1, Full: true, Put: list, Members: map[string]string{"front-1": "x"}})
			g := New(Options{Name: "front-1"}, clock, log, cache, nil, meter.New(clock))
			g.groups.Update(loads.Group{
				Name:       "a",
				Open:       true,
				StepTime:   40 * time.Millisecond,
				StalledFor: tt.stalled,
				Ranks: []loads.Rank{{
					Start:   list[0].Start(),
					Running: 2,
					Pace:    1,
				}},
			})
			for range picks {
				r := &request{
					g:         g,
					snap:      cache.Now(),
					route:     &plan.Route{Kind: plan.KindStream, Gap: 120 * time.Millisecond, Attempts: 2},
					service:   &plan.Service{Name: "svc"},
					tried:     map[core.Start]bool{list[1].Start(): true},
					relocated: tt.moved,
				}
				in, ok := r.pick()
				if !ok || in.ID != tt.want {
					t.Fatalf("picked %q, want %q", in.ID, tt.want)
				}
				g.loads.end(in.Start())
			}
		})
	}
}
