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
	// answerTime is how long the instance takes to answer, linkTime how often an entry hears of others, linkPeers of how many.
	answerTime = 150 * time.Millisecond
	linkTime   = 200 * time.Millisecond
	linkPeers  = 3
	// span, factor and slack say what an instance takes at most: some requests more than factor times its rate over the span. Requests count of
	// entries that were told half a second before.
	span    = 4 * time.Second
	factor  = 1.5
	slack   = 5.0
	toldFor = 500 * time.Millisecond
)

// load is how a fleet wants to use an instance that has named a limit.
type load struct {
	name string
	// busy of the entries have work for the instance, each wanted requests a second from a time on.
	busy   func(entries int) int
	wanted float64
	from   time.Duration
	// parted entries hear nothing of each other; restarts and joins are how often an entry starts anew or joins.
	parted   bool
	restarts time.Duration
	joins    time.Duration
	// used is the least part of the limit that has to be used.
	used float64
}

func all(entries int) int { return entries }
func few(int) int         { return 3 }

var loads = []load{
	{name: "all entries have work", busy: all, wanted: 20, used: 0.8},
	{name: "a crowd after a calm", busy: all, wanted: 20, from: 30 * time.Second, used: 0.8},
	{name: "few entries have work", busy: few, wanted: 20},
	{name: "little work each", busy: all, wanted: 0.5},
	{name: "nothing is heard of others", busy: all, wanted: 20, parted: true, used: 0.8},
	{name: "entries start anew", busy: all, wanted: 20, restarts: 2 * time.Second, used: 0.5},
	{name: "entries join", busy: all, wanted: 20, joins: 3 * time.Second, used: 0.5},
}

// played is a fleet under a load.
type played struct {
	load    load
	rate    float64
	holders func(rate float64, entries int) int
	random  *rand.Rand
	clock   *clockwork.FakeClock
	start   core.Start
	members map[string]string
	rev     int64
	entries []*entry
	// sent is when entries that had been told sent a request.
	sent []time.Time
}

type entry struct {
	name     string
	registry *Registry
	told     time.Time
	answers  []time.Time
}

func newPlayed(l load, entries int, rate float64, holders func(rate float64, entries int) int, seed uint64) *played {
	p := &played{
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

func (p *played) join() {
	name := fmt.Sprint("front-", len(p.entries))
	p.members[name] = ""
	p.rev++
	e := &entry{name: name}
	p.boot(e)
	p.entries = append(p.entries, e)
}

// boot starts an entry that knows nothing.
func (p *played) boot(e *entry) {
	e.registry = New(e.name, p.clock, hclog.NewNullLogger())
	e.registry.holders = p.holders
	e.registry.draw = p.random.Float64
	e.told, e.answers = time.Time{}, nil
}

func (p *played) run(lasts time.Duration) {
	began := p.clock.Now()
	for n := 0; p.clock.Since(began) < lasts; n++ {
		now := p.clock.Now()
		if p.every(n, p.load.restarts) {
			p.boot(p.entries[p.random.IntN(len(p.entries))])
		}
		if p.every(n, p.load.joins) {
			p.join()
		}
		for i, e := range p.entries {
			p.answer(e, now)
			if !p.load.parted && p.every(n+i, linkTime) {
				p.hear(e)
			}
			isBusy := i < p.load.busy(len(p.entries)) && now.Sub(began) >= p.load.from
			// Each entry has asked the instance something when it names its limit.
			if n == 0 || isBusy && p.random.Float64() < p.load.wanted*tick.Seconds() {
				p.send(e, now)
			}
		}
		p.clock.Advance(tick)
	}
}

func (p *played) every(n int, d time.Duration) bool {
	return d > 0 && n%int(d/tick) == 0
}

func (p *played) fleet() Fleet {
	return Fleet{
		Rev:     p.rev,
		Members: p.members,
	}
}

func (p *played) send(e *entry, now time.Time) {
	if e.registry.Wait(p.start, p.fleet()) > 0 {
		return
	}
	if _, ok := e.registry.Acquire(p.start, p.fleet()); !ok {
		return
	}
	e.answers = append(e.answers, now)
	if !e.told.IsZero() && now.Sub(e.told) >= toldFor {
		p.sent = append(p.sent, now)
	}
}

func (p *played) answer(e *entry, now time.Time) {
	for len(e.answers) > 0 && now.Sub(e.answers[0]) >= answerTime {
		e.registry.Note(p.start, Limit{Stated: true, Rate: p.rate}, e.answers[0])
		e.answers = e.answers[1:]
		if e.told.IsZero() {
			e.told = now
		}
	}
}

func (p *played) hear(e *entry) {
	for range linkPeers {
		known, _ := p.entries[p.random.IntN(len(p.entries))].registry.Since(0)
		e.registry.Merge(known)
	}
}

// most returns the most requests within the span.
func (p *played) most() int {
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
	playTime  = 60 * time.Second
	fleetRuns = 2
)

// TestFleetKeepsALimit guards against an instance in need that gets more than it takes from all entries together: from many that each send a
// little, from a crowd after a calm, and as entries come, go and lose sight of each other.
func TestFleetKeepsALimit(t *testing.T) {
	for _, l := range loads {
		for _, entries := range fleetSizes {
			for _, rate := range rates {
				t.Run(fmt.Sprintf("%s, %d entries, %v a second", l.name, entries, rate), func(t *testing.T) {
					t.Parallel()
					for seed := range uint64(fleetRuns) {
						p := newPlayed(l, entries, rate, fewHolders, seed)
						p.run(playTime)
						if allowed := factor*rate*span.Seconds() + slack; float64(p.most()) > allowed {
							t.Errorf("seed %d: %d requests in %v, allowed %v", seed, p.most(), span, allowed)
						}
						if least := l.used * rate * (playTime - l.from).Seconds(); float64(len(p.sent)) < least {
							t.Errorf("seed %d: %d requests, want %v at least", seed, len(p.sent), least)
						}
					}
				})
			}
		}
	}
}

// BenchmarkWaysToShare compares how many entries hold a part of a limit: what an instance gets at most in four seconds, and what part of its
// limit is used.
func BenchmarkWaysToShare(b *testing.B) {
	ways := []struct {
		name    string
		holders func(rate float64, entries int) int
	}{
		{"equal parts", func(_ float64, entries int) int { return entries }},
		{"one holder", func(float64, int) int { return 1 }},
		{"few holders", fewHolders},
	}
	for _, l := range loads {
		for _, entries := range fleetSizes {
			for _, rate := range []float64{1, 4} {
				for _, w := range ways {
					b.Run(fmt.Sprintf("%s/%d/%v/%s", l.name, entries, rate, w.name), func(b *testing.B) {
						most, sent := 0, 0
						for n := range b.N {
							p := newPlayed(l, entries, rate, w.holders, uint64(n))
							p.run(playTime)
							most = max(most, p.most())
							sent += len(p.sent)
						}
						b.ReportMetric(float64(most), "most")
						b.ReportMetric(factor*rate*span.Seconds()+slack, "allowed")
						b.ReportMetric(float64(sent)/float64(b.N)/(rate*(playTime-l.from).Seconds()), "used")
					})
				}
			}
		}
	}
}
