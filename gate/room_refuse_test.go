package gate

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"geraniumpass/core"
	"geraniumpass/crash"
	"geraniumpass/loads"
	"geraniumpass/meter"
	"geraniumpass/plan"
	"geraniumpass/view"
)

// crowdedSite is a gate in front of one group of one rank, for which requests of two ranks are made.
type crowdedSite struct {
	clock *clockwork.FakeClock
	table *plan.Table
	cache *view.Cache
	in    core.Instance
	gate  *Gate
}

func newCrowdedSite() *crowdedSite {
	clock, log := clockwork.NewFakeClock(), hclog.NewNullLogger()
	table := (&plan.Table{
		Routes: []plan.Route{
			{Name: "first", Rank: 0, Kind: plan.KindStream, Aim: 400 * time.Millisecond, Gap: 120 * time.Millisecond, Shares: []plan.Share{{Service: "svc", Weight: 1}}},
			{Name: "second", Host: "example.com", Prefix: "/second/", Rank: 1, Kind: plan.KindStream, Aim: 400 * time.Millisecond, Gap: 120 * time.Millisecond, Shares: []plan.Share{{Service: "svc", Weight: 1}}},
		},
		Services: []plan.Service{{Name: "svc", Engine: &plan.Engine{Slots: 10, StepMs: 4.84, SequenceMs: 0.435, StepTokens: 7, ReadPerSecond: 74_800, Sets: 12, Prompt: 800, Answer: 160}}},
	}).Compile()
	in := core.Instance{ID: "i-1", Service: "svc", Address: "127.0.0.1:1", Slots: 10}
	cache := view.NewCache("front-1", clock, log)
	cache.Apply(view.Change{Rev: 1, Full: true, Table: table, Put: []core.Instance{in}, Members: map[string]string{"front-1": "x"}})
	return &crowdedSite{
		clock: clock,
		table: table,
		cache: cache,
		in:    in,
		gate:  New(Options{Name: "front-1"}, clock, log, cache, nil, meter.New(clock)),
	}
}

// report posts a status of the group with the given duration of a step.
func (s *crowdedSite) report(step time.Duration) {
	s.gate.groups.Update(loads.Group{Name: "a", Open: true, StepTime: step, Ranks: []loads.Rank{{Start: s.in.Start(), Running: 9, Pace: 1}}})
}

// newRequest returns a request of the route with the given rank.
func (s *crowdedSite) newRequest(rank int, w http.ResponseWriter) *request {
	r := &request{g: s.gate, w: w, snap: s.cache.Now(), route: &s.table.Routes[rank], service: s.table.Service("svc"), receivedAt: s.clock.Now(), deadline: s.clock.Now().Add(8 * time.Second)}
	r.stream.lastEvent = -1
	return r
}

// TestCrowdedGroupRefusesLowerRanks guards against a gate that knows that its groups are crowded and goes
// on sending them the requests of lower ranks, or tells engines nothing of the ranks. The load is a group
// whose steps take 130 ms, where callers accept 120.
func TestCrowdedGroupRefusesLowerRanks(t *testing.T) {
	s := newCrowdedSite()
	g, clock := s.gate, s.clock
	refused, urgency := make([]int, 2), make([]int, 2)
	for i := range 400 {
		clock.Advance(10 * time.Millisecond)
		if i%10 == 0 {
			s.report(130 * time.Millisecond)
			g.observeRoom()
		}
		for rank := range refused {
			w := httptest.NewRecorder()
			r := s.newRequest(rank, w)
			if status := r.checkRoom(); status != 0 {
				refused[rank]++
				if status != http.StatusServiceUnavailable || w.Header().Get("Retry-After") == "" {
					t.Fatalf("refused with status %d and headers %v", status, w.Header())
				}
			}
			urgency[rank] = r.currentUrgency()
		}
	}
	if refused[0] > 0 || refused[1] == 0 {
		t.Errorf("refused %d of the first and %d of the second rank", refused[0], refused[1])
	}
	if urgency[0] >= urgency[1] {
		t.Errorf("urgencies are %v, want the first rank before the second", urgency)
	}
}

// TestBlockedSegmentIsRefusedBeforeRoom guards against a caller who is told to come back with a request that
// is never sent, because the groups happen to have no room for it.
func TestBlockedSegmentIsRefusedBeforeRoom(t *testing.T) {
	s := newCrowdedSite()
	s.gate.dialect = fixedDialect{call: Call{ID: "a-1", Segments: []string{"fatal"}, LastEvent: -1}}
	for i := range 40 {
		s.gate.crashes.CountRequest(nil)
		if i%8 == 0 {
			s.clock.Advance(4 * time.Second)
			s.gate.crashes.RecordRun(crash.Run{
				Start:    core.Start{ID: string(rune('a' + i))},
				Certain:  true,
				Segments: []crash.Digest{s.gate.hasher.Segment("fatal")},
			})
		}
	}
	for i := range 400 {
		s.clock.Advance(10 * time.Millisecond)
		if i%10 == 0 {
			s.report(130 * time.Millisecond)
			s.gate.observeRoom()
		}
		s.newRequest(0, httptest.NewRecorder()).checkRoom()
		w := httptest.NewRecorder()
		s.gate.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/second/x", http.NoBody))
		if w.Code != http.StatusBadGateway || w.Header().Get("Retry-After") != "" {
			t.Fatalf("status %d, %v; want 502 without Retry-After", w.Code, w.Header())
		}
	}
}

// fixedDialect reads the same call from each request.
type fixedDialect struct {
	Dialect
	call Call
}

func (d fixedDialect) Read(http.Header) (Call, error) {
	return d.call, nil
}
