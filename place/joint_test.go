package place

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func roundRobin(experts, ranks, slots int) *Placement {
	p := &Placement{Ranks: ranks, Slots: slots, Experts: make([][]int, experts)}
	for e := range p.Experts {
		p.Experts[e] = []int{e % ranks}
	}
	return p
}

// skewedLoad draws loads in which a few experts are far more popular than the rest, as in
// production groups.
func skewedLoad(random *rand.Rand, experts int) []float64 {
	load := make([]float64, experts)
	for i, e := range random.Perm(experts) {
		load[e] = 100 / float64(i+1)
	}
	return load
}

func TestImproveSetsKeepsItsBudgetAndTheMapsValid(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		sets := []*Placement{roundRobin(24, 4, 8), roundRobin(24, 4, 8), roundRobin(24, 4, 8)}
		b := Budget{
			PerRank: rapid.IntRange(1, 3).Draw(t, "per rank"),
			PerSet:  rapid.IntRange(0, 2).Draw(t, "per set"),
			MinGain: 0.03,
		}
		for range 6 {
			load := [][]float64{skewedLoad(random, 24), skewedLoad(random, 24), skewedLoad(random, 24)}
			next, copies := ImproveSets(sets, load, nil, b)
			loaded := 0
			for r := range 4 {
				n := 0
				for s := range sets {
					c := sets[s].Copies(next[s], r)
					if b.PerSet > 0 && c > b.PerSet {
						t.Fatalf("rank %d loads %d experts of set %d", r, c, s)
					}
					n += c
				}
				if n > b.PerRank {
					t.Fatalf("rank %d loads %d experts, %d allowed", r, n, b.PerRank)
				}
				loaded += n
			}
			if loaded > copies {
				t.Fatalf("%d experts loaded, %d reported", loaded, copies)
			}
			for s, p := range next {
				if !p.Valid() {
					t.Fatalf("map of set %d is not valid", s)
				}
			}
			before, _ := Peak(sets, load, nil)
			after, _ := Peak(next, load, nil)
			if after > before*1.05 {
				t.Fatalf("step time went up: %f after %f", after, before)
			}
			sets = next
		}
	})
}

// TestFewCopiesFollowDriftingPopularity models production traffic: popularity shifts every few
// seconds and a copy takes a large part of a second.
func TestFewCopiesFollowDriftingPopularity(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	sets := []*Placement{roundRobin(96, 12, 11), roundRobin(96, 12, 11), roundRobin(96, 12, 11)}
	ratio := 0.0
	const drifts, switches = 8, 6
	for range drifts {
		load := [][]float64{skewedLoad(random, 96), skewedLoad(random, 96), skewedLoad(random, 96)}
		for range switches {
			sets, _ = ImproveSets(sets, load, nil, Budget{PerRank: 1, MinGain: 0.015})
		}
		peak, mean := Peak(sets, load, nil)
		ratio += peak / mean / drifts
	}
	// Without any map changes the most loaded rank has about three times the mean load.
	if ratio > 1.35 {
		t.Errorf("most loaded rank at %.2f of the mean after %d switches of a copy a rank", ratio, switches)
	}
}

func TestTallyAndDemand(t *testing.T) {
	tests := []struct {
		name   string
		counts [][]int64
		want   []float64
	}{
		{"first counts only begin", [][]int64{{100, 0}}, nil},
		{"additions", [][]int64{{100, 0}, {110, 4}}, []float64{10, 4}},
		{"nothing chosen", [][]int64{{100, 0}, {100, 0}}, nil},
		{"an engine that started anew", [][]int64{{100, 50}, {4, 20}}, []float64{4, 20}},
		{"large counts keep their proportion", [][]int64{{0, 0}, {25500, 5100}}, []float64{25500, 5100}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := &Demand{HalfLife: time.Second}
			tally := &Tally{}
			for _, c := range tt.counts {
				tally.Add(c)
				if chosen, unit := tally.Take(); chosen != nil {
					d.Observe(time.Unix(0, 0), chosen, unit)
				}
			}
			got := d.Loads(1)
			if (got == nil) != (tt.want == nil) {
				t.Fatalf("got %v, want %v", got, tt.want)
			}
			for i := range tt.want {
				if got[0][i] != tt.want[i] {
					t.Errorf("got %v, want %v", got[0], tt.want)
				}
			}
		})
	}
}

func TestDemandWithStablePopularity(t *testing.T) {
	d := &Demand{HalfLife: time.Second}
	d.Observe(time.Unix(0, 0), []byte{100, 100}, 1)
	d.Observe(time.Unix(1, 0), []byte{100, 80}, 1)
	// Half of the count that is one half-life old, and all of the new one.
	if got := d.Loads(1)[0]; got[0] != 150 || got[1] != 130 {
		t.Errorf("after a half-life: %v", got)
	}
}

// TestDemandFollowsShift models production traffic: every two seconds two thirds of the popular
// experts change, from one step to the next. Ranks report in turn, each the counts of the last 200
// ms.
func TestDemandFollowsShift(t *testing.T) {
	const (
		sets    = 4
		experts = 96
		ranks   = 24
		window  = 200 * time.Millisecond
		settled = 400 * time.Millisecond
		most    = 0.1
	)
	random := rand.New(rand.NewPCG(3, 9))
	before, after := zipfShares(random, sets, experts), zipfShares(random, sets, experts)
	shiftAt := time.Unix(100, 0)
	d := &Demand{
		HalfLife: time.Second,
	}
	for at := shiftAt.Add(-2 * time.Second); at.Before(shiftAt.Add(settled)); at = at.Add(window / ranks) {
		// The part of this rank's window after the shift.
		part := min(1, max(0, float64(at.Sub(shiftAt))/float64(window)))
		chosen := make([]byte, sets*experts)
		for i := range chosen {
			mean := 600 * ((1-part)*before[i] + part*after[i])
			chosen[i] = byte(min(255, max(0, mean+random.NormFloat64()*math.Sqrt(mean)+0.5)))
		}
		d.Observe(at, chosen, 1)
	}
	for s, load := range d.Loads(sets) {
		if got := totalVariation(load, after[s*experts:(s+1)*experts]); got > most {
			t.Errorf("set %d: estimate is off by %.2f of the choices %v after a shift, want %.2f at most", s, got, settled, most)
		}
	}
}

func TestTallyDropsCountsBeforeShift(t *testing.T) {
	tests := []struct {
		name    string
		counts  [][]int64
		shifted bool
		want    []byte
	}{
		{"nothing turns", [][]int64{{0, 0}, {50, 50}, {110, 90}}, false, []byte{110, 90}},
		{"a turn", [][]int64{{0, 0}, {80, 20}, {90, 110}}, true, []byte{10, 90}},
		{"counts of an engine that started anew", [][]int64{{0, 0}, {80, 20}, {8, 2}}, false, []byte{88, 22}},
		{"no choices between", [][]int64{{0, 0}, {80, 20}, {80, 20}, {160, 40}}, false, []byte{160, 40}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tally := &Tally{}
			shifted := false
			for _, c := range tt.counts {
				shifted = tally.Add(c) || shifted
			}
			if shifted != tt.shifted {
				t.Errorf("shifted is %t, want %t", shifted, tt.shifted)
			}
			if got, _ := tally.Take(); !slices.Equal(got, tt.want) {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
}

// zipfShares returns the popularity of experts by set, by Zipf's law in random order.
func zipfShares(random *rand.Rand, sets, experts int) []float64 {
	var out []float64
	for range sets {
		out = append(out, skewedLoad(random, experts)...)
	}
	for s := range sets {
		load := out[s*experts : (s+1)*experts]
		scale(load, 1/sumOf(load))
	}
	return out
}

// BenchmarkImproveSets has the size of the larger production groups: 16 sets of 96 experts on 24
// ranks.
func BenchmarkImproveSets(b *testing.B) {
	random := rand.New(rand.NewPCG(5, 6))
	sets := make([]*Placement, 16)
	load := make([][]float64, len(sets))
	for s := range sets {
		sets[s] = roundRobin(96, 24, 5)
		load[s] = skewedLoad(random, 96)
	}
	for b.Loop() {
		ImproveSets(sets, load, nil, Budget{PerRank: 2, PerSet: 2, MinGain: 0.012})
	}
}

func TestDemandShifting(t *testing.T) {
	tests := []struct {
		name string
		// reports follow 40 stable ones; all are 10 ms apart, each with the
		// choices of two experts.
		reports [][]byte
		want    bool
	}{
		{"calm", [][]byte{{85, 15}, {90, 10}, {92, 8}}, false},
		{"the first tell of a turn", [][]byte{{10, 250}}, true},
		{"late tells agree", slices.Repeat([][]byte{{10, 250}}, 10), false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := &Demand{HalfLife: time.Second}
			now := time.Unix(100, 0)
			for _, report := range append(slices.Repeat([][]byte{{90, 10}}, 40), tt.reports...) {
				now = now.Add(10 * time.Millisecond)
				d.Observe(now, report, 1)
			}
			if got := d.Shifting(now); got != tt.want {
				t.Errorf("shifting is %t, want %t", got, tt.want)
			}
		})
	}
}

func TestDemandShiftIsBounded(t *testing.T) {
	d := &Demand{HalfLife: time.Second}
	now := time.Unix(100, 0)
	for i := range 20 {
		now = now.Add(10 * time.Millisecond)
		d.Observe(now, []byte{byte(250 * (i % 2)), byte(250 * ((i + 1) % 2))}, 1)
	}
	if d.Shifting(now) {
		t.Error("shift never ends under counts that keep changing")
	}
}
