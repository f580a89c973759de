package place

import (
	"math/rand/v2"
	"testing"
)

// TestSlowRanksGetLessLoad guards against stragglers that keep their load while popularity shifts:
// all ranks of a group step together, so one slow rank delays every stream until it carries less.
func TestSlowRanksGetLessLoad(t *testing.T) {
	const (
		shifts   = 6
		switches = 4
	)
	tests := []struct {
		name  string
		ranks int
		sets  int
		slots int
		// experts is the number of experts per set; slow maps slow ranks to their pace.
		experts int
		slow    map[int]float64
		// most bounds a step's duration relative to perfect balance under the same paces.
		most float64
	}{
		{"12 ranks, none slow", 12, 3, 11, 96, nil, 1.5},
		{"12 ranks, one at half its speed", 12, 3, 11, 96, map[int]float64{4: 2}, 1.5},
		{"12 ranks, two slow", 12, 3, 11, 96, map[int]float64{0: 1.7, 7: 2.6}, 1.5},
		{"63 ranks with few spare places, three slow", 63, 8, 5, 252, map[int]float64{4: 2, 5: 1.5, 60: 3}, 2.2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(3, 4))
			pace := make([]float64, tt.ranks)
			for r := range pace {
				pace[r] = max(1, tt.slow[r])
			}
			sets := make([]*Placement, tt.sets)
			for s := range sets {
				sets[s] = roundRobin(tt.experts, tt.ranks, tt.slots)
			}
			aware, blind := 0.0, 0.0
			unaware := sets
			for range shifts {
				load := make([][]float64, tt.sets)
				for s := range load {
					load[s] = skewedLoad(random, tt.experts)
				}
				for range switches {
					sets, _ = ImproveSets(sets, load, pace, Budget{PerRank: 1, MinGain: 0.012})
					unaware, _ = ImproveSets(unaware, load, nil, Budget{PerRank: 1, MinGain: 0.012})
				}
				peak, mean := Peak(sets, load, pace)
				aware += peak / mean / shifts
				peak, mean = Peak(unaware, load, pace)
				blind += peak / mean / shifts
			}
			t.Logf("step time is %.2f of perfect balance, %.2f when ignoring paces", aware, blind)
			if aware > tt.most {
				t.Errorf("step time is %.2f of perfect balance, want %.2f at most", aware, tt.most)
			}
			if tt.slow != nil && blind < aware {
				t.Errorf("step time is %.2f of perfect balance when ignoring paces, %.2f otherwise", blind, aware)
			}
		})
	}
}

// TestEqualPacesChangeNothing checks that equal paces of all ranks give the same maps as no paces.
func TestEqualPacesChangeNothing(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 6))
	sets := []*Placement{roundRobin(24, 4, 8), roundRobin(24, 4, 8)}
	load := [][]float64{skewedLoad(random, 24), skewedLoad(random, 24)}
	plain, copies := ImproveSets(sets, load, nil, Budget{PerRank: 2, MinGain: 0.01})
	paced, copiesPaced := ImproveSets(sets, load, []float64{3, 3, 3, 3}, Budget{PerRank: 2, MinGain: 0.01})
	if copies != copiesPaced {
		t.Fatalf("%d copies, %d under equal paces", copies, copiesPaced)
	}
	for s := range plain {
		if plain[s].Copies(paced[s], -1) != 0 || paced[s].Copies(plain[s], -1) != 0 {
			t.Errorf("set %d differs under equal paces", s)
		}
	}
}
