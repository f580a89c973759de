package admit

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"time"
)

// crowd decides requests of kinds that arrive in turn while one group is full, and returns the
// admitted share of each kind and of all. The group has room for some 150 of perSecond requests.
func crowd(s *Shedder, perSecond float64, kinds []Demand, weights []int) ([]float64, float64) {
	admitted := make([]float64, len(kinds))
	offered := make([]float64, len(kinds))
	now := time.Unix(1_000_000, 0)
	s.room.updatedAt = now
	all, total := 0.0, 0.0
	for i := range 4000 {
		now = now.Add(10 * time.Millisecond)
		// A room of which so much is used that a part of the demand has to be refused.
		groups := []Group{{Name: "a", Usable: true, Ranks: 32, Running: 252, StepTime: 90 * time.Millisecond}}
		for k, n := range weights {
			for range n {
				d := s.Decide(now, testEngine(), groups, kinds[k])
				s.room.inflow, s.room.inflowShare = perSecond, 1
				if i < 1000 {
					continue
				}
				offered[k]++
				total++
				if d.Admit {
					admitted[k]++
					all++
				}
			}
		}
	}
	for k := range kinds {
		admitted[k] /= offered[k]
	}
	return admitted, all / total
}

func demand(rank int, account string) Demand {
	return Demand{
		Class:        fmt.Sprint("class", rank),
		ClassRank:    rank,
		Account:      account,
		PromptTokens: 800,
		LengthHint:   160,
		Aim:          testAim,
		Gap:          testGap,
		Remaining:    10 * time.Second,
	}
}

// Load: the least urgent class has four times its traffic and room is short. Callers of the most
// urgent one need 0.95 in time, so that many are admitted; the least urgent one is still admitted half
// as often as the whole.
func TestLeastUrgentIsRefusedFirst(t *testing.T) {
	s := New(rand.New(rand.NewPCG(1, 1)).Float64)
	shares, mean := crowd(s, 300, []Demand{demand(0, "a"), demand(1, "b"), demand(2, "c")}, []int{1, 1, 4})
	t.Logf("admitted %.3f, mean %.3f", shares, mean)
	if mean > 0.9 {
		t.Fatalf("room is not short: %.3f admitted", mean)
	}
	if shares[0] < 0.95 || shares[2] < 0.45*mean || shares[2] > mean {
		t.Errorf("admitted %.3f by rank, %.3f of all", shares, mean)
	}
}

// Load: one account of 24 has ten times its traffic and room is short. The other accounts lose less
// than 0.02, and the large one is refused until it is at its fair share, not below.
func TestOnlyTheFloodingAccountIsRefused(t *testing.T) {
	kinds := make([]Demand, 24)
	weights := make([]int, 24)
	for i := range kinds {
		kinds[i] = demand(1, fmt.Sprint("account", i))
		weights[i] = 1
	}
	weights[0] = 10
	s := New(rand.New(rand.NewPCG(1, 1)).Float64)
	shares, mean := crowd(s, 180, kinds, weights)
	t.Logf("admitted %.3f of the large account, %.3f of another, %.3f of all", shares[0], shares[1], mean)
	if mean > 0.95 {
		t.Fatalf("room is not short: %.3f admitted", mean)
	}
	for i, share := range shares[1:] {
		if share < 0.98 {
			t.Errorf("account %d: admitted %.3f", i+1, share)
		}
	}
	if shares[0]*10 < 0.9 {
		t.Errorf("the large account has %.3f of an equal share", shares[0]*10)
	}
}

// A caller that is refused twice is lost, one that is late already gains least: among equals, the
// returned ones with time left go first and the late ones last.
func TestReturnedGoBeforeFirstAndLateGoLast(t *testing.T) {
	returned, first, late := demand(0, "a"), demand(0, "b"), demand(0, "c")
	returned.Returned = true
	late.Spent = 2 * testAim
	s := New(rand.New(rand.NewPCG(1, 1)).Float64)
	shares, mean := crowd(s, 200, []Demand{returned, first, late}, []int{1, 1, 1})
	t.Logf("admitted %.3f, mean %.3f", shares, mean)
	if shares[0] < shares[1] || shares[1] < shares[2] || shares[2] < 0.45*mean {
		t.Errorf("admitted %.3f, mean %.3f", shares, mean)
	}
}

// Every mix of ranks, turns and shares admits the wanted share of all, and no kind but excess less
// than half as often: a lower sum leaves room unused, a higher one overfills the groups.
func TestTurnsAddUp(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for range 500 {
		var turns turns
		now := time.Unix(1_000_000, 0)
		for range 1 + random.IntN(200) {
			turns.add(now, random.IntN(3), turnOf(random.IntN(int(turnExcess))), testGap)
		}
		share := random.Float64()
		sum, total := 0.0, 0.0
		for i, n := range turns.counts {
			p := turns.admitted(share, i/int(turnsPerRank), turnOf(i%int(turnsPerRank)))
			sum += n * p
			total += n
			if n > 0 && p < share/2-1e-9 {
				t.Fatalf("place %d is admitted by %.3f of %.3f", i, p, share)
			}
		}
		if math.Abs(sum/total-share) > 1e-6 {
			t.Fatalf("admitted %.6f of %.6f", sum/total, share)
		}
	}
}

// Engines serve timely requests before late ones, and higher ranks first once there are several; with
// equal ranks they see what they always saw.
func TestUrgency(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	one := 1
	tests := []struct {
		name  string
		ranks []int
		give  Demand
		want  int
	}{
		{name: "equal ranks, timely", ranks: []int{3}, give: demand(3, "a"), want: DefaultUrgency},
		{name: "equal ranks, late", ranks: []int{3}, give: Demand{ClassRank: 3, Aim: 1, Spent: 2}, want: 8},
		{name: "first rank", ranks: []int{0, 2}, give: demand(0, "a"), want: 2},
		{name: "account before route", ranks: []int{0, 2}, give: Demand{AccountRank: &one, ClassRank: 2}, want: 4},
		{name: "last rank", ranks: []int{0, 2}, give: demand(2, "a"), want: 6},
		{name: "first rank, late", ranks: []int{0, 2}, give: Demand{Aim: 1, Spent: 2}, want: 7},
		{name: "last rank, late", ranks: []int{0, 2}, give: Demand{ClassRank: 2, Aim: 1, Spent: 2}, want: 9},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := New(func() float64 { return 0 })
			for _, rank := range tt.ranks {
				s.Decide(now, testEngine(), nil, demand(rank, "a"))
			}
			if got := s.Decide(now, testEngine(), nil, tt.give).Urgency; got != tt.want {
				t.Errorf("urgency %d, want %d", got, tt.want)
			}
		})
	}
}

// Sizes that clients leave out or make up must not buy a turn or cost one: they count as usual ones.
func TestImpossibleSizesCountAsUsual(t *testing.T) {
	w := work{byClass: make(map[string]*answers)}
	e := testEngine()
	usual := w.cost(e, &Demand{Class: "chat"})
	for _, n := range []int{-1, math.MinInt, math.MaxInt} {
		d := Demand{Class: "chat", PromptTokens: n, LengthHint: n, MaxAnswerTokens: n}
		if got := w.cost(e, &d); got != usual {
			t.Errorf("%d tokens cost %.1f, want %.1f", n, got, usual)
		}
	}
}

// A class whose hints are often far off is judged by the answers that it had, one whose hints are
// right by its hints.
func TestHintsCountByHowOftenTheyWereRight(t *testing.T) {
	w := work{byClass: make(map[string]*answers)}
	for range 100 {
		w.finished("right", 1000, 1000)
		w.finished("wrong", 1000, 200)
	}
	right := w.answer(testEngine(), &Demand{Class: "right", LengthHint: 400})
	wrong := w.answer(testEngine(), &Demand{Class: "wrong", LengthHint: 1000})
	if right > 480 || wrong > 280 {
		t.Errorf("expect %.0f and %.0f tokens", right, wrong)
	}
}

// Callers refused together must not come back together, and not after their time.
func TestRetryAfterIsSpreadAndHelps(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	s := New(random.Float64)
	s.room.inflow, s.room.inflowShare = 900, 1
	full := space{known: true, limit: 400, requests: 440, outflow: 200, step: 100 * time.Millisecond}
	least, most := time.Hour, time.Duration(0)
	for range 1000 {
		after := s.retryAfter(full, 0.2, 10*time.Second)
		least, most = min(least, after), max(most, after)
		if short := s.retryAfter(full, 0.2, 500*time.Millisecond); short > 300*time.Millisecond {
			t.Fatalf("asked to return after %v of 500ms", short)
		}
	}
	// The excess of 40 finishes in 0.2 s, and 720 refused in a second in 3.6 s.
	if least < 300*time.Millisecond || most < 3*time.Second {
		t.Errorf("returns between %v and %v", least, most)
	}
}

// Without any usable group nothing is known of the room; the gateway has its own way then.
func TestNoUsableGroupIsLeftToTheCaller(t *testing.T) {
	s := New(func() float64 { return 0.999 })
	groups := []Group{{Name: "a", Ranks: 32, Running: 320, Waiting: 500}}
	if d := s.Decide(time.Unix(1_000_000, 0), testEngine(), groups, demand(0, "a")); !d.Admit {
		t.Errorf("refused: %+v", d)
	}
}

// Load: one of two groups is stalled and the other one is full. The stalled one looks idle but must not
// count as room; callers would wait there for nothing.
func TestStalledGroupHasNoRoom(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	s := New(func() float64 { return 0.999 })
	refused := 0
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		d := s.Decide(now, testEngine(), []Group{
			{Name: "a", Ranks: 32, Running: 10, StepTime: 60 * time.Millisecond},
			{Name: "b", Usable: true, Ranks: 32, Running: 320, Waiting: 60, StepTime: 130 * time.Millisecond},
		}, demand(0, "a"))
		if !d.Admit {
			refused++
		}
	}
	if refused != 20 {
		t.Errorf("refused %d of 20", refused)
	}
}

// Handlers of one entry decide at once; run with the race detector.
func TestConcurrentDecisions(_ *testing.T) {
	s := New(rand.Float64)
	now := time.Unix(1_000_000, 0)
	groups := []Group{{Name: "a", Usable: true, Ranks: 32, Running: 320, Waiting: 60, StepTime: testGap}}
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for i := range 100 {
				at := now.Add(time.Duration(i) * 10 * time.Millisecond)
				s.Observe(at, testEngine(), groups)
				s.Decide(at, testEngine(), groups, demand(i%3, "a"))
				s.Finished(at, "chat", 100, 160)
			}
		})
	}
	wg.Wait()
}
