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
	one  = Limit{Stated: true, Rate: 1}
	four = Limit{Stated: true, Rate: 4}
)

func newRegistry(name string) (*Registry, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	return New(name, clock, hclog.NewNullLogger()), clock
}

// stated returns the limit that a registry goes by.
func (g *Registry) stated(start core.Start) Limit {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.by[start]
	if r == nil {
		return Limit{}
	}
	g.settle(start, r, g.clock.Now())
	return r.limit
}

// TestStatementOfTheLaterRequestHolds guards against an old answer that arrives last and lifts a limit.
func TestStatementOfTheLaterRequestHolds(t *testing.T) {
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
				g.Note(inst, a.limit, began.Add(a.sent))
			}
			if got := g.stated(inst); got != tt.want {
				t.Errorf("limit %+v, want %+v", got, tt.want)
			}
		})
	}
}

// TestLimitIsOfOneStart guards against an instance that is kept short for what an earlier start under its id had stated.
func TestLimitIsOfOneStart(t *testing.T) {
	g, clock := newRegistry("a")
	g.Note(inst, one, clock.Now())
	for n := range 3 {
		if _, ok := g.Acquire(core.Start{ID: inst.ID, StartedAt: inst.StartedAt + 1}, Fleet{}); !ok {
			t.Errorf("request %d to another start is held back", n)
		}
	}
}

// TestWhatOtherEntriesTell guards against an entry that stood still and tells of old things as of new ones: a lower limit holds at once, a
// higher one only if nobody confirms the lower one for a while.
func TestWhatOtherEntriesTell(t *testing.T) {
	heard := func(rate float64, ended bool, age time.Duration) Notice {
		return Notice{
			Instance: inst.ID,
			Born:     inst.StartedAt,
			Rate:     rate,
			Ended:    ended,
			Age:      age,
		}
	}
	tests := []struct {
		name   string
		own    Limit
		notice Notice
		// confirmed has the instance confirm its limit after the notice.
		confirmed bool
		at        Limit
		later     Limit
	}{
		{name: "first heard of", notice: heard(1, false, 0), at: one, later: one},
		{name: "end of what is not known", notice: heard(0, true, 0)},
		{name: "lower", own: four, notice: heard(1, false, 0), at: one, later: one},
		{name: "lower, older", own: four, notice: heard(1, false, time.Minute), at: four, later: four},
		{name: "higher", own: one, notice: heard(4, false, 0), at: one, later: four},
		{name: "higher, older", own: one, notice: heard(4, false, time.Minute), at: one, later: one},
		{name: "higher, and the lower one confirmed", own: one, notice: heard(4, false, 0), confirmed: true, at: one, later: one},
		{name: "ended", own: one, notice: heard(0, true, 0), at: one},
		{name: "ended, and the limit confirmed", own: one, notice: heard(0, true, 0), confirmed: true, at: one, later: one},
		{name: "a negative rate", own: one, notice: heard(-1, false, 0), at: one, later: one},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g, clock := newRegistry("a")
			g.Note(inst, tt.own, clock.Now())
			clock.Advance(time.Second)
			g.Merge([]Notice{tt.notice})
			if got := g.stated(inst); got != tt.at {
				t.Errorf("limit %+v at once, want %+v", got, tt.at)
			}
			if tt.confirmed {
				clock.Advance(raiseSettles / 2)
				g.Note(inst, tt.own, clock.Now())
			}
			clock.Advance(raiseSettles)
			if got := g.stated(inst); got != tt.later {
				t.Errorf("limit %+v later, want %+v", got, tt.later)
			}
		})
	}
}

// TestNewsOfALimitEnds guards against entries that tell each other of the same limit again and again.
func TestNewsOfALimitEnds(t *testing.T) {
	const rounds = 100
	a, clock := newRegistry("a")
	b := New("b", clock, hclog.NewNullLogger())
	a.Note(inst, one, clock.Now())
	for range rounds {
		for _, link := range []struct{ from, to *Registry }{{a, b}, {b, a}} {
			known, _ := link.from.Since(0)
			// On the way a notice gets no older.
			clock.Advance(linkTime)
			link.to.Merge(known)
		}
	}
	if _, upTo := a.Since(0); upTo > 1 {
		t.Errorf("a learned %d times of one statement", upTo)
	}
	if _, upTo := b.Since(0); upTo != 1 {
		t.Errorf("b learned %d times of one statement", upTo)
	}
}

// TestEntryWithoutAPartAsks guards against an instance that is never used again by entries that hold no part of a limit which is over.
func TestEntryWithoutAPartAsks(t *testing.T) {
	g, clock := newRegistry("a")
	g.holders = func(float64, int) int { return 1 }
	fleet := Fleet{Members: map[string]string{"a": "", "b": "", "c": ""}}
	start := inst
	for n := 0; fleet.isAmong("a", start, 1); n++ {
		start.ID += "x"
	}
	g.Note(start, one, clock.Now())
	if g.Wait(start, fleet) < unconfirmedAfter {
		t.Error("asks at once")
	}
	asked := 0
	for range 120 {
		clock.Advance(500 * time.Millisecond)
		if _, ok := g.Acquire(start, fleet); ok {
			asked++
		}
	}
	if asked == 0 || asked > 6 {
		t.Errorf("asked %d times in a minute", asked)
	}
}

// TestUnsentRequestIsGivenBack guards against a limit that is used up by requests which never reached the instance.
func TestUnsentRequestIsGivenBack(t *testing.T) {
	g, clock := newRegistry("a")
	g.Note(inst, one, clock.Now())
	clock.Advance(time.Minute)
	for n := range 20 {
		p, ok := g.Acquire(inst, Fleet{})
		if !ok {
			t.Fatalf("request %d is held back", n)
		}
		p.Return(clock.Now())
	}
}

// TestLimitOutlivesItsEntry guards against a limit that is forgotten while the instance's entry in the list has vanished for a moment.
func TestLimitOutlivesItsEntry(t *testing.T) {
	tests := []struct {
		name   string
		listed bool
		after  time.Duration
		want   Limit
	}{
		{"listed", true, time.Hour, one},
		{"vanished a moment ago", false, time.Second, one},
		{"vanished long ago", false, kept + time.Second, Limit{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g, clock := newRegistry("a")
			g.Note(inst, one, clock.Now())
			clock.Advance(tt.after)
			g.Sweep(func(core.Start) bool { return tt.listed })
			if got := g.stated(inst); got != tt.want {
				t.Errorf("limit %+v, want %+v", got, tt.want)
			}
		})
	}
}
