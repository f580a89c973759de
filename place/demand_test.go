package place

import (
	"math/rand/v2"
	"slices"
	"testing"
)

// TestOnePassCountsAsSeveral guards against an estimate that differs, if only in the last bit, from that of
// scaling, adding and summing one after another: maps are chosen by small differences.
func TestOnePassCountsAsSeveral(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	a := make([]float64, 1000)
	chosen := make([]byte, len(a))
	for range 50 {
		for i := range chosen {
			chosen[i] = byte(random.IntN(256))
		}
		by, unit := random.Float64(), 3*random.Float64()
		want := slices.Clone(a)
		scale(want, by)
		addCounts(want, chosen, unit)
		if got := decayAndAdd(a, by, chosen, unit); got != sumOf(want) || !slices.Equal(a, want) {
			t.Fatalf("sum %v, want %v", got, sumOf(want))
		}
	}
}
