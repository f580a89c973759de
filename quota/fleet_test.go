package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"geraniumpass/core"
)

const (
	tick = 20 * time.Millisecond
	// answerTime is how long the instance takes to answer, linkTime how often an entry receives
	// notices, and linkPeers from how many entries.
	answerTime = 150 * time.Millisecond
	linkTime   = 200 * time.Millisecond
	linkPeers  = 3
	// span, factor and slack bound what an instance accepts: factor times its rate over the span,
	// plus slack requests. Only requests of entries that learned of the limit at least noticeDelay
	// before are counted.
	span        = 4 * time.Second
	factor      = 1.5
	slack       = 5.0
	noticeDelay = 500 * time.Millisecond
)

// load is the traffic that a fleet sends to an instance with a limit.
type load struct {
	name string
	// busy returns how many entries have work for the instance, each wanted requests per second,
	// starting at from.
	busy   func(entries int) int
	wanted float64
	from   time.Duration
	// partitioned entries receive no notices; restarts and joins are the intervals at which an
	// entry restarts or joins.
	partitioned bool
	restarts    time.Duration
	joins       time.Duration
	// minUsed is the least fraction of the limit that has to be used.
	minUsed float64
}

func all(entries int) int { return entries }
func few(int) int         { return 3 }

var loads = []load{
	{name: "all entries have work", busy: all, wanted: 20, minUsed: 0.8},
	{name: "a crowd after a calm", busy: all, wanted: 20, from: 30 * time.Second, minUsed: 0.8},
	{name: "few entries have work", busy: few, wanted: 20},
	{name: "little work each", busy: all, wanted: 0.5},
	{name: "nothing is heard of others", busy: all, wanted: 20, partitioned: true, minUsed: 0.8},
	{name: "entries start anew", busy: all, wanted: 20, restarts: 2 * time.Second, minUsed: 0.5},
	{name: "entries join", busy: all, wanted: 20, joins: 3 * time.Second, minUsed: 0.5},
}

// simulation is a fleet under a load.
type simulation struct {
	load    load
	rate    float64
	holders func(rate float64, entries int) int
	random  *rand.Rand
	clock   *clockwork.FakeClock
	start   core.Start
	members map[string]string
	rev     int64
	entries []*entry
	// sent holds the send times of requests from entries that knew the limit.
	sent []time.Time
}

type entry struct {
	name       string
	registry   *Registry
	notifiedAt time.Time
	answers    []time.Time
}

func newSimulation(l load, entries int, rate float64, holders func(rate float64, entries int) int, seed uint64) *simulation {
	p := &simulation{
		load:    l,
		rate:    rate,
		holders: holders,
		random:  rand.New(rand.NewPCG(seed, 1)),
		clock:   clockwork.NewFakeClock(),
		start:   core.Start{ID: fmt.Sprint("i-", seed)},
		members: make(map[string]string),
	}
	for range entries {
		p.join()
	}
	return p
}

func (p *simulation) join() {
	name := fmt.Sprint("front-", len(p.entries))
	p.members[name] = ""
	p.rev++
	e := &entry{name: name}
	p.reset(e)
	p.entries = append(p.entries, e)
}

// reset restarts an entry with no knowledge of limits.
func (p *simulation) reset(e *entry) {
	e.registry = New(e.name, p.clock, hclog.NewNullLogger())
	e.registry.holders = p.holders
	e.registry.random = p.random.Float64
	e.notifiedAt, e.answers = time.Time{}, nil
}

func (p *simulation) run(lasts time.Duration) {
	began := p.clock.Now()
	for n := 0; p.clock.Since(began) < lasts; n++ {
		now := p.clock.Now()
		if p.every(n, p.load.restarts) {
			p.reset(p.entries[p.random.IntN(len(p.entries))])
		}
		if p.every(n, p.load.joins) {
			p.join()
		}
		for i, e := range p.entries {
			p.deliverAnswers(e, now)
			if !p.load.partitioned && p.every(n+i, linkTime) {
				p.gossip(e)
			}
			isBusy := i < p.load.busy(len(p.entries)) && now.Sub(began) >= p.load.from
			// Every entry has sent the instance a request before it advertises its limit.
			if n == 0 || isBusy && p.random.Float64() < p.load.wanted*tick.Seconds() {
				p.send(e, now)
			}
		}
		p.clock.Advance(tick)
	}
}

func (p *simulation) every(n int, d time.Duration) bool {
	return d > 0 && n%int(d/tick) == 0
}

func (p *simulation) fleet() Fleet {
	return Fleet{
		Rev:     p.rev,
		Members: p.members,
	}
}

func (p *simulation) send(e *entry, now time.Time) {
	if e.registry.Wait(p.start, p.fleet()) > 0 {
		return
	}
	if _, ok := e.registry.Acquire(p.start, p.fleet()); !ok {
		return
	}
	e.answers = append(e.answers, now)
	if !e.notifiedAt.IsZero() && now.Sub(e.notifiedAt) >= noticeDelay {
		p.sent = append(p.sent, now)
	}
}

func (p *simulation) deliverAnswers(e *entry, now time.Time) {
	for len(e.answers) > 0 && now.Sub(e.answers[0]) >= answerTime {
		e.registry.Observe(p.start, Limit{Advertised: true, Rate: p.rate}, e.answers[0])
		e.answers = e.answers[1:]
		if e.notifiedAt.IsZero() {
			e.notifiedAt = now
		}
	}
}

func (p *simulation) gossip(e *entry) {
	for range linkPeers {
		known, _ := p.entries[p.random.IntN(len(p.entries))].registry.Since(0)
		e.registry.Merge(known)
	}
}

// maxInSpan returns the largest number of requests within the span.
func (p *simulation) maxInSpan() int {
	most, first := 0, 0
	for i := range p.sent {
		for p.sent[i].Sub(p.sent[first]) > span {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

var (
	fleetSizes = []int{9, 41, 99}
	rates      = []float64{0, 0.2, 1, 4, 20}
)

const (
	simTime   = 60 * time.Second
	fleetRuns = 2
)

// TestFleetHonorsLimit guards against an overloaded instance that receives more than its limit from
// all entries together: from many entries with little traffic each, from a burst after an idle
// period, and as entries join, restart and are partitioned.
func TestFleetHonorsLimit(t *testing.T) {
	for _, l := range loads {
		for _, entries := range fleetSizes {
			for _, rate := range rates {
				t.Run(fmt.Sprintf("%s, %d entries, %v a second", l.name, entries, rate), func(t *testing.T) {
					t.Parallel()
					for seed := range uint64(fleetRuns) {
						p := newSimulation(l, entries, rate, holderCount, seed)
						p.run(simTime)
						if allowed := factor*rate*span.Seconds() + slack; float64(p.maxInSpan()) > allowed {
							t.Errorf("seed %d: %d requests in %v, allowed %v", seed, p.maxInSpan(), span, allowed)
						}
						if least := l.minUsed * rate * (simTime - l.from).Seconds(); float64(len(p.sent)) < least {
							t.Errorf("seed %d: %d requests, want %v at least", seed, len(p.sent), least)
						}
					}
				})
			}
		}
	}
}

// BenchmarkWaysToShare compares numbers of share holders: the most requests that an instance gets
// within the span, and the fraction of its limit that is used.
func BenchmarkWaysToShare(b *testing.B) {
	ways := []struct {
		name    string
		holders func(rate float64, entries int) int
	}{
		{"equal parts", func(_ float64, entries int) int { return entries }},
		{"one holder", func(float64, int) int { return 1 }},
		{"few holders", holderCount},
	}
	for _, l := range loads {
		for _, entries := range fleetSizes {
			for _, rate := range []float64{1, 4} {
				for _, w := range ways {
					b.Run(fmt.Sprintf("%s/%d/%v/%s", l.name, entries, rate, w.name), func(b *testing.B) {
						most, sent := 0, 0
						for n := range b.N {
							p := newSimulation(l, entries, rate, w.holders, uint64(n))
							p.run(simTime)
							most = max(most, p.maxInSpan())
							sent += len(p.sent)
						}
						b.ReportMetric(float64(most), "most")
						b.ReportMetric(factor*rate*span.Seconds()+slack, "allowed")
						b.ReportMetric(float64(sent)/float64(b.N)/(rate*(simTime-l.from).Seconds()), "used")
					})
				}
			}
		}
	}
}
