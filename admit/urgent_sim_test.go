package admit

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const (
	// turnTicks is the number of ticks between two changes of the experts in demand, longTicks that for which the
	// steps are long then, and meanTicks that over which a status averages the steps.
	turnTicks = 320
	longTicks = 20
	meanTicks = 50
)

// turning is a flood before groups whose steps are long for a moment whenever other experts are in demand. The
// mean of a status hides that moment; streams show it to the entries that carry them.
type turning struct {
	*flood
	weights []float64
	// hasAccountRanks is set if two of the accounts go before the others.
	hasAccountRanks bool
	steps           []time.Duration
	// began are the ticks at which requests of the first rank were admitted.
	began []int
}

func newTurning(entries int) *turning {
	t := &turning{
		flood: newFlood(entries, NewRanked),
	}
	for _, g := range t.groups {
		g.stepMs = func(n float64) float64 {
			if t.ticks%turnTicks >= turnTicks-longTicks {
				return evenStep(3)(n)
			}
			return evenStep(1)(n)
		}
	}
	t.name = func(d Demand) string { return fmt.Sprint(d.ClassRank) }
	t.next = func() Demand {
		total := 0.0
		for _, w := range t.weights {
			total += w
		}
		at, rank := t.random.Float64()*total, 0
		for ; at > t.weights[rank]; rank++ {
			at -= t.weights[rank]
		}
		account := t.random.IntN(24)
		d := demand(rank, string(rune('A'+account)))
		if t.hasAccountRanks {
			accountRank := min(account/2, 1)
			d.AccountRank = &accountRank
		}
		return d
	}
	t.begun = func(d Demand) {
		if d.ClassRank == 0 {
			t.began = append(t.began, t.ticks)
		}
	}
	t.step = t.observe
	return t
}

// observe averages the steps of the last status, and lets each stream tell its entry of a long step at its end.
func (t *turning) observe() {
	longest := time.Duration(0)
	for _, g := range t.groups {
		longest = max(longest, g.step)
	}
	t.steps = append(t.steps, longest)
	last := t.steps[max(len(t.steps)-meanTicks, 0):]
	mean := time.Duration(0)
	for _, step := range last {
		mean += step / time.Duration(len(last))
	}
	for _, g := range t.groups {
		g.history[len(g.history)-1].StepTime = mean
		if t.ticks%turnTicks != turnTicks-1 {
			continue
		}
		for range g.left {
			t.entries[t.random.IntN(len(t.entries))].Paused(t.now, t.engine, g.step, testGap)
		}
	}
}

// timely returns the share of the requests of the first rank, admitted since the given tick, without a step that
// was too long.
func (t *turning) timely(since int) float64 {
	n, timely := 0.0, 0.0
	for _, tick := range t.began {
		if tick < since {
			continue
		}
		n++
		life := int(23 * t.steps[tick-1] / (10 * time.Millisecond))
		if slices.Max(t.steps[tick-1:min(tick+life, len(t.steps))]) <= testGap {
			timely++
		}
	}
	return timely / n
}

// Load: the least urgent of three classes has four times its traffic for 20 s, while steps are long for 0.2 s of
// every 3.2 s. The most urgent class has 0.95 of its requests within its aims, and no class is served less than
// half as often as the whole.
func TestUrgentClassKeepsItsAimInAFlood(t *testing.T) {
	for _, hasAccountRanks := range []bool{false, true} {
		for _, entries := range []int{9, 41, 99, 432} {
			t.Run(fmt.Sprintf("%d entries, account ranks %v", entries, hasAccountRanks), func(t *testing.T) {
				t.Parallel()
				f := newTurning(entries)
				f.hasAccountRanks = hasAccountRanks
				f.weights = []float64{81, 107, 36}
				f.offer(30*time.Second, 224)
				clear(f.ends)
				since := f.ticks
				f.weights = []float64{81, 107, 144}
				f.offer(20*time.Second, 332)
				first := f.ends["0"]
				timely := f.timely(since) * first.admitted / first.ended
				t.Logf("served %.3f, in time %.3f of the first class", first.admitted/first.ended, timely)
				if timely < 0.95 {
					t.Errorf("%.3f of the first class in time", timely)
				}
				f.checkServed(t)
			})
		}
	}
}

// Load: steps that are too long in groups whose requests all have one rank, or for those of the first of two. Long
// pauses of streams make room only for the sake of others: these requests are decided as without them.
func TestPausesChangeNothingForTheFirstRank(t *testing.T) {
	for _, ranks := range [][]int{{1}, {0, 1}} {
		var admitted [2][]bool
		for i := range admitted {
			s := NewRanked(rand.New(rand.NewPCG(1, 1)).Float64)
			now := time.Unix(1_000_000, 0)
			for k := range 2000 {
				now = now.Add(tick)
				step := time.Duration(60+k/20) * time.Millisecond
				groups := []Group{{Name: "a", Usable: true, Ranks: 32, Running: 280, StepTime: step}}
				s.Observe(now, testEngine(), groups)
				if i == 1 {
					s.Paused(now, testEngine(), testGap*3/2, testGap)
				}
				for _, rank := range ranks {
					d := s.Decide(now, testEngine(), groups, demand(rank, "a"))
					if rank == ranks[0] {
						admitted[i] = append(admitted[i], d.Admit)
					}
				}
			}
		}
		if !slices.Equal(admitted[0], admitted[1]) {
			t.Errorf("ranks %v: pauses changed what is admitted of the first one", ranks)
		}
	}
}

// Load: pauses of 1.5 times what callers accept, because an instance is slow. They say nothing of the load: once its
// group is well, requests of the second rank are admitted at the usual load as if there had been none.
func TestPausesOfSlowInstancesAreForgotten(t *testing.T) {
	s := NewRanked(rand.New(rand.NewPCG(1, 1)).Float64)
	now := time.Unix(1_000_000, 0)
	for k := range 1000 {
		now = now.Add(tick)
		isSlow := k < 300
		groups := []Group{{Name: "a", Usable: true, Slow: isSlow, Ranks: 32, Running: 200, StepTime: 75 * time.Millisecond}}
		if isSlow {
			s.Paused(now, testEngine(), testGap*3/2, testGap)
		}
		s.Observe(now, testEngine(), groups)
		first, second := s.Decide(now, testEngine(), groups, demand(0, "a")), s.Decide(now, testEngine(), groups, demand(1, "a"))
		if !first.Admit || !second.Admit {
			t.Fatalf("refused at %v: %v, %v", now.Sub(time.Unix(1_000_000, 0)), first, second)
		}
	}
}
