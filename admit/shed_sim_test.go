package admit

import (
	"math/rand/v2"
	"time"

	"geraniumpass/plan"
)

// testEngine has the terms of a group whose ranks run ten requests each.
func testEngine() *plan.Engine {
	return &plan.Engine{
		Slots:         10,
		StepMs:        4.84,
		SequenceMs:    0.435,
		StepTokens:    7,
		ReadPerSecond: 74_800,
		Prompt:        800,
		Answer:        160,
	}
}

const (
	testGap = 120 * time.Millisecond
	testAim = 400 * time.Millisecond
	tick    = 10 * time.Millisecond
	// testStatusAge is the usual age of a status when an entry acts on it.
	testStatusAge = 150 * time.Millisecond
)

// streams is a group as counters of streams, by the steps that each has left.
type streams struct {
	ranks   int
	left    []int
	queue   int
	stalled bool
	// stepMs returns the duration of a step with n running requests on each rank.
	stepMs func(n float64) float64
	events float64

	progress float64
	step     time.Duration
	history  []Group
}

func (g *streams) advance(r *rand.Rand) {
	for g.queue > 0 && len(g.left) < g.ranks*10 && !g.stalled {
		g.queue--
		g.left = append(g.left, 1+int(g.events*(0.5+r.Float64())))
	}
	ms := g.stepMs(float64(len(g.left)) / float64(g.ranks))
	g.step = time.Duration(ms * float64(time.Millisecond))
	if g.stalled {
		g.record()
		return
	}
	for g.progress += milliseconds(tick) / ms; g.progress >= 1; g.progress-- {
		running := g.left[:0]
		for _, n := range g.left {
			if n > 1 {
				running = append(running, n-1)
			}
		}
		g.left = running
	}
	g.record()
}

func (g *streams) record() {
	g.history = append(g.history, Group{
		Usable:   !g.stalled,
		Ranks:    g.ranks,
		Running:  len(g.left),
		Waiting:  g.queue,
		StepTime: g.step,
	})
}

// status returns what entries know, at most every 100 ms a new one.
func (g *streams) status(name string) Group {
	at := max((len(g.history)-int(testStatusAge/tick))/10*10, 0)
	status := g.history[at]
	status.Name = name
	status.Age = time.Duration(len(g.history)-at) * tick
	return status
}

// fleet is an array of entries before groups.
type fleet struct {
	random  *rand.Rand
	engine  *plan.Engine
	now     time.Time
	entries []*Shedder
	groups  []*streams
	// off admits everything.
	off     bool
	refused int
	offered int
	// returning are the refused requests by the tick at which they come back, once.
	returning map[int]int
	ticks     int
}

func newFleet(entries int, groups ...*streams) *fleet {
	f := &fleet{
		random:    rand.New(rand.NewPCG(1, uint64(entries))),
		engine:    testEngine(),
		now:       time.Unix(1_000_000, 0),
		groups:    groups,
		returning: make(map[int]int),
	}
	for range entries {
		f.entries = append(f.entries, New(f.random.Float64))
	}
	for _, g := range groups {
		g.advance(f.random)
	}
	return f
}

// run offers requests at the given rate and calls each after every tick.
func (f *fleet) run(duration time.Duration, perSecond float64, each func()) {
	for range int(duration / tick) {
		f.now = f.now.Add(tick)
		f.ticks++
		statuses := make([]Group, len(f.groups))
		for i, g := range f.groups {
			statuses[i] = g.status(string(rune('a' + i)))
		}
		if f.ticks%10 == 0 {
			for _, s := range f.entries {
				s.Observe(f.now, f.engine, statuses)
			}
		}
		for n := f.arrivals(perSecond); n > 0; n-- {
			f.request(statuses, false)
		}
		for n := f.returning[f.ticks]; n > 0; n-- {
			f.request(statuses, true)
		}
		delete(f.returning, f.ticks)
		for _, g := range f.groups {
			g.advance(f.random)
		}
		each()
	}
}

// arrivals returns how many requests arrive in one tick, independent of one another.
func (f *fleet) arrivals(perSecond float64) int {
	n := 0
	for at := f.random.ExpFloat64(); at < perSecond*tick.Seconds(); at += f.random.ExpFloat64() {
		n++
	}
	return n
}

func (f *fleet) request(statuses []Group, returned bool) {
	f.offered++
	d := Demand{
		Class:     "chat",
		Account:   string(rune('A' + f.random.IntN(24))),
		Aim:       testAim,
		Gap:       testGap,
		Remaining: 10 * time.Second,
		Returned:  returned,
	}
	decision := Decision{
		Admit: true,
	}
	if !f.off {
		decision = f.entries[f.random.IntN(len(f.entries))].Decide(f.now, f.engine, statuses, d)
	}
	if !decision.Admit {
		f.refused++
		if !returned {
			f.returning[f.ticks+1+int(decision.RetryAfter/tick)]++
		}
		return
	}
	f.pick().queue++
}

// pick returns the group with the fewest requests for each rank among those not known to be stalled.
// With the part off, entries know nothing of a stall: a group that answers nothing looks idle.
func (f *fleet) pick() *streams {
	var best *streams
	for _, g := range f.groups {
		if g.stalled && !f.off {
			continue
		}
		if best == nil || g.load() < best.load() {
			best = g
		}
	}
	if f.off {
		return f.groups[f.random.IntN(len(f.groups))]
	}
	return best
}

func (g *streams) load() float64 {
	return float64(len(g.left)+g.queue) / float64(g.ranks)
}

func (f *fleet) held() int {
	n := 0
	for _, g := range f.groups {
		n += len(g.left) + g.queue
	}
	return n
}
