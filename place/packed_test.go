package place

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

func TestPackedCounts(t *testing.T) {
	tests := []struct {
		name   string
		counts []byte
		unit   float64
		want   []byte
		scale  float64
	}{
		{"none", nil, 1, nil, 0},
		{"small ones stay as they are", []byte{0, 15, 7, 1}, 2, []byte{0, 15, 7, 1}, 2},
		{"an odd number", []byte{3, 4, 5}, 1, []byte{3, 4, 5}, 1},
		{"the largest is kept", []byte{150, 0, 30, 60}, 1, []byte{15, 0, 3, 6}, 10},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			packed, unit := NewPacker(3).Pack(tt.counts, tt.unit)
			if got := Unpack(packed, len(tt.counts)); !slices.Equal(got, tt.want) || unit != tt.scale {
				t.Errorf("got %v in units of %v, want %v in %v", got, unit, tt.want, tt.scale)
			}
		})
	}
}

// TestPackingErrorIsBelowSamplingNoise models a popularity shift in a group of 64 ranks, each of
// which reports the counts of one step: 256 experts by Zipf's law, about 400 choices per rank.
// Packing must displace fewer choices than sampling noise does.
func TestPackingErrorIsBelowSamplingNoise(t *testing.T) {
	const (
		ranks   = 64
		experts = 256
		choices = 400
	)
	random := rand.New(rand.NewPCG(3, 4))
	expected := zipfShares(random, 1, experts)
	exact := make([]float64, experts)
	unpacked := make([]float64, experts)
	for r := range ranks {
		counts := make([]byte, experts)
		for e := range counts {
			mean := choices * expected[e]
			counts[e] = byte(min(255, max(0, mean+random.NormFloat64()*math.Sqrt(mean)+0.5)))
			exact[e] += float64(counts[e])
		}
		packed, unit := NewPacker(r).Pack(counts, 1)
		for e, n := range Unpack(packed, experts) {
			unpacked[e] += float64(n) * unit
		}
	}
	chance := totalVariation(exact, expected)
	if got := totalVariation(unpacked, exact); got > chance {
		t.Errorf("packing displaces %.4f of the choices, sampling noise %.4f", got, chance)
	}
}

func TestUnpackRejectsWrongLength(t *testing.T) {
	for _, n := range []int{-1, 0, 2, 5} {
		if got := Unpack([]byte{1, 2}, n); got != nil {
			t.Errorf("unpacked %d counts from two bytes: %v", n, got)
		}
	}
}
