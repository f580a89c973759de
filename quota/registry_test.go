package quota

import (
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"geraniumpass/core"
)

var (
	inst = core.Start{ID: "i-1", StartedAt: 7}
	one  = Limit{Advertised: true, Rate: 1}
	four = Limit{Advertised: true, Rate: 4}
)

func newRegistry(name string) (*Registry, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	return New(name, clock, hclog.NewNullLogger()), clock
}

// appliedLimit returns the limit that a registry applies.
func (g *Registry) appliedLimit(start core.Start) Limit {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.records[start]
	if r == nil {
		return Limit{}
	}
	g.applyPending(start, r, g.clock.Now())
	return r.limit
}

// TestLatestRequestWins guards against a delayed answer that overwrites a newer limit.
func TestLatestRequestWins(t *testing.T) {
	type answer struct {
		sent  time.Duration
		limit Limit
	}
	tests := []struct {
		name    string
		answers []answer
		want    Limit
	}{
		{"nothing stated", []answer{{0, Limit{}}}, Limit{}},
		{"in order", []answer{{0, Limit{}}, {time.Second, one}}, one},
		{"overtaken by the limit", []answer{{time.Second, one}, {0, Limit{}}}, one},
		{"overtaken by its end", []answer{{time.Second, one}, {3 * time.Second, Limit{}}, {2 * time.Second, one}}, Limit{}},
		{"changed", []answer{{time.Second, one}, {2 * time.Second, four}}, four},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g, clock := newRegistry("a")
			began := clock.Now()
			for _, a := range tt.answers {
				g.Observe(inst, a.limit, began.Add(a.sent))
			}
			if got := g.appliedLimit(inst); got != tt.want {
				t.Errorf("limit %+v, want %+v", got, tt.want)
			}
		})
	}
}

// TestLimitAppliesToOneIncarnation guards against a restarted instance that is throttled by the limit
// of its previous incarnation.
func TestLimitAppliesToOneIncarnation(t *testing.T) {
	g, clock := newRegistry("a")
	g.Observe(inst, one, clock.Now())
	for n := range 3 {
		if _, ok := g.Acquire(core.Start{ID: inst.ID, StartedAt: inst.StartedAt + 1}, Fleet{}); !ok {
			t.Errorf("request %d to another incarnation was throttled", n)
		}
	}
}

// TestMergeNotices guards against an entry that was paused and reports old limits as new: a lower
// limit applies at once, a higher one only if the lower one is not confirmed meanwhile.
func TestMergeNotices(t *testing.T) {
	newNotice := func(rate float64, ended bool, age time.Duration) Notice {
		return Notice{
			Instance:  inst.ID,
			StartedAt: inst.StartedAt,
			Rate:      rate,
			Ended:     ended,
			Age:       age,
		}
	}
	tests := []struct {
		name   string
		own    Limit
		notice Notice
		// confirmed makes the instance confirm its limit after the notice.
		confirmed bool
		at        Limit
		later     Limit
	}{
		{name: "first heard of", notice: newNotice(1, false, 0), at: one, later: one},
		{name: "end of what is not known", notice: newNotice(0, true, 0)},
		{name: "lower", own: four, notice: newNotice(1, false, 0), at: one, later: one},
		{name: "lower, older", own: four, notice: newNotice(1, false, time.Minute), at: four, later: four},
		{name: "higher", own: one, notice: newNotice(4, false, 0), at: one, later: four},
		{name: "higher, older", own: one, notice: newNotice(4, false, time.Minute), at: one, later: one},
		{name: "higher, and the lower one confirmed", own: one, notice: newNotice(4, false, 0), confirmed: true, at: one, later: one},
		{name: "ended", own: one, notice: newNotice(0, true, 0), at: one},
		{name: "ended, and the limit confirmed", own: one, notice: newNotice(0, true, 0), confirmed: true, at: one, later: one},
		{name: "a negative rate", own: one, notice: newNotice(-1, false, 0), at: one, later: one},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g, clock := newRegistry("a")
			g.Observe(inst, tt.own, clock.Now())
			clock.Advance(time.Second)
			g.Merge([]Notice{tt.notice})
			if got := g.appliedLimit(inst); got != tt.at {
				t.Errorf("limit %+v at once, want %+v", got, tt.at)
			}
			if tt.confirmed {
				clock.Advance(raiseDelay / 2)
				g.Observe(inst, tt.own, clock.Now())
			}
			clock.Advance(raiseDelay)
			if got := g.appliedLimit(inst); got != tt.later {
				t.Errorf("limit %+v later, want %+v", got, tt.later)
			}
		})
	}
}

// TestNoticesDoNotEcho guards against entries that send each other the same limit endlessly.
func TestNoticesDoNotEcho(t *testing.T) {
	const rounds = 100
	a, clock := newRegistry("a")
	b := New("b", clock, hclog.NewNullLogger())
	a.Observe(inst, one, clock.Now())
	for range rounds {
		for _, link := range []struct{ from, to *Registry }{{a, b}, {b, a}} {
			known, _ := link.from.Since(0)
			// A notice's age does not grow in transit.
			clock.Advance(linkTime)
			link.to.Merge(known)
		}
	}
	if _, upTo := a.Since(0); upTo > 1 {
		t.Errorf("a recorded one limit %d times", upTo)
	}
	if _, upTo := b.Since(0); upTo != 1 {
		t.Errorf("b recorded one limit %d times", upTo)
	}
}

// TestEntryWithoutShareProbes guards against entries without a share that never use an instance
// again after its limit has ended.
func TestEntryWithoutShareProbes(t *testing.T) {
	g, clock := newRegistry("a")
	g.holders = func(float64, int) int { return 1 }
	fleet := Fleet{Members: map[string]string{"a": "", "b": "", "c": ""}}
	start := inst
	for n := 0; fleet.isHolder("a", start, 1); n++ {
		start.ID += "x"
	}
	g.Observe(start, one, clock.Now())
	if g.Wait(start, fleet) < unconfirmedAfter {
		t.Error("probes at once")
	}
	probed := 0
	for range 120 {
		clock.Advance(500 * time.Millisecond)
		if _, ok := g.Acquire(start, fleet); ok {
			probed++
		}
	}
	if probed == 0 || probed > 6 {
		t.Errorf("probed %d times in a minute", probed)
	}
}

// TestCanceledPermitRestoresToken guards against a limit that is used up by requests that never
// reached the instance.
func TestCanceledPermitRestoresToken(t *testing.T) {
	g, clock := newRegistry("a")
	g.Observe(inst, one, clock.Now())
	clock.Advance(time.Minute)
	for n := range 20 {
		p, ok := g.Acquire(inst, Fleet{})
		if !ok {
			t.Fatalf("request %d was throttled", n)
		}
		p.Cancel(clock.Now())
	}
}

// TestSweepKeepsRecentLimits guards against a limit that is evicted while its instance is missing
// from the list for a moment.
func TestSweepKeepsRecentLimits(t *testing.T) {
	tests := []struct {
		name   string
		listed bool
		after  time.Duration
		want   Limit
	}{
		{"listed", true, time.Hour, one},
		{"vanished a moment ago", false, time.Second, one},
		{"vanished long ago", false, retention + time.Second, Limit{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g, clock := newRegistry("a")
			g.Observe(inst, one, clock.Now())
			clock.Advance(tt.after)
			g.Sweep(func(core.Start) bool { return tt.listed })
			if got := g.appliedLimit(inst); got != tt.want {
				t.Errorf("limit %+v, want %+v", got, tt.want)
			}
		})
	}
}
