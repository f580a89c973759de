package gate

import (
	"net/http/httptest"
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

// TestPausesOfStreamsMakeRoom guards against a gate whose streams pause for longer than callers accept and that goes
// on filling the groups with requests of lower ranks, because the mean step time of the groups looks well.
func TestPausesOfStreamsMakeRoom(t *testing.T) {
	tests := []struct {
		name    string
		pause   time.Duration
		refuses bool
	}{
		{name: "usual pause", pause: 90 * time.Millisecond},
		{name: "long pause", pause: 170 * time.Millisecond, refuses: true},
	}
	for _, tt := range tests {
		clock, log := clockwork.NewFakeClock(), hclog.NewNullLogger()
		table := (&plan.Table{
			Routes: []plan.Route{
				{Name: "first", Rank: 0, Kind: plan.KindStream, Aim: 400 * time.Millisecond, Gap: 120 * time.Millisecond, Shares: []plan.Share{{Service: "svc", Weight: 1}}},
				{Name: "second", Rank: 1, Kind: plan.KindStream, Aim: 400 * time.Millisecond, Gap: 120 * time.Millisecond, Shares: []plan.Share{{Service: "svc", Weight: 1}}},
			},
			Services: []plan.Service{{Name: "svc", Engine: &plan.Engine{Slots: 10, StepMs: 4.84, SequenceMs: 0.435, StepTokens: 7, ReadPerSecond: 74_800, Sets: 12, Prompt: 800, Answer: 160}}},
		}).Compile()
		in := core.Instance{ID: "i-1", Service: "svc", Address: "127.0.0.1:1", Slots: 10}
		cache := view.NewCache("front-1", clock, log)
		cache.Apply(view.Change{Rev: 1, Full: true, Table: table, Put: []core.Instance{in}, Members: map[string]string{"front-1": "x"}})
		g := New(Options{Name: "front-1"}, clock, log, cache, nil, meter.New(clock))
		refused := make([]int, 2)
		for i := range 400 {
			clock.Advance(10 * time.Millisecond)
			if i%10 == 0 {
				g.groups.Update(loads.Group{Name: "a", Open: true, StepTime: 85 * time.Millisecond, Ranks: []loads.Rank{{Start: in.Start(), Running: 9, Pace: 1}}})
				g.observeRoom()
			}
			for rank := range refused {
				now := clock.Now()
				r := &request{g: g, w: httptest.NewRecorder(), snap: cache.Now(), route: &table.Routes[rank], service: table.Service("svc"), receivedAt: now, deadline: now.Add(8 * time.Second)}
				r.stream.lastEvent = -1
				if r.checkRoom() != 0 {
					refused[rank]++
					continue
				}
				r.sends = 1
				r.recordDelivery(now)
				r.recordDelivery(now.Add(tt.pause))
			}
		}
		if refused[0] > 0 || (refused[1] > 0) != tt.refuses {
			t.Errorf("%s: refused %d of the first and %d of the second rank", tt.name, refused[0], refused[1])
		}
	}
}
