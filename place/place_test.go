package place

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// zipf returns popularity by Zipf's law, in an order drawn from the seed.
func zipf(experts int, exponent float64, seed uint64) []float64 {
	random := rand.New(rand.NewPCG(seed, 1))
	load := make([]float64, experts)
	for i, e := range random.Perm(experts) {
		load[e] = 1000 / math.Pow(float64(i+1), exponent)
	}
	return load
}

func TestRebuildIsValidAndBalanced(t *testing.T) {
	tests := []struct {
		name    string
		experts int
		ranks   int
		slots   int
		skew    float64
	}{
		{name: "today", experts: 64, ranks: 12, slots: 8, skew: 0.1},
		{name: "target", experts: 128, ranks: 256, slots: 2, skew: 0.35},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			load := zipf(tt.experts, 0.8, 7)
			p := Rebuild(load, tt.ranks, tt.slots)
			if !p.Valid() {
				t.Fatal("placement is not valid")
			}
			if s := p.Skew(load); s > tt.skew {
				t.Errorf("skew %.3f, want at most %.2f", s, tt.skew)
			}
		})
	}
}

func TestImproveKeepsPlacementsValid(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ranks := rapid.IntRange(2, 24).Draw(t, "ranks")
		slots := rapid.IntRange(1, 6).Draw(t, "slots")
		experts := rapid.IntRange(1, ranks*slots).Draw(t, "experts")
		load := zipf(experts, rapid.Float64Range(0, 2).Draw(t, "exponent"), rapid.Uint64().Draw(t, "seed"))
		p := Even(experts, ranks, slots)
		if !p.Valid() {
			t.Fatalf("even placement is not valid: %v", p)
		}
		limit := rapid.IntRange(0, 40).Draw(t, "copies")
		next, copies := Improve(p, load, 0.05, limit)
		if !next.Valid() {
			t.Fatalf("improved placement is not valid: %v", next)
		}
		if moved := p.Copies(next, -1); moved > copies || copies > limit {
			t.Fatalf("%d copies moved, %d counted, %d allowed", moved, copies, limit)
		}
		if next.Skew(load) > p.Skew(load)+1e-9 {
			t.Fatalf("skew went from %f to %f", p.Skew(load), next.Skew(load))
		}
	})
}

func TestRebalancerVerdicts(t *testing.T) {
	even := Even(64, 12, 8)
	hot := zipf(64, 1, 3)
	flat := zipf(64, 0, 3)
	tests := []struct {
		name   string
		target Target
		cost   time.Duration
		load   []float64
		surge  bool
		want   Verdict
	}{
		{name: "nothing to do", target: Target{Skew: 0.1, MovesPerHour: 100}, load: flat, want: VerdictOnTarget},
		{name: "hot experts", target: Target{Skew: 0.1, MovesPerHour: 400}, load: hot, want: VerdictMove},
		{name: "no moves allowed", target: Target{Skew: 0.1}, load: hot, want: VerdictBudget},
		{name: "surge that admits no disruption", target: Target{Skew: 0.1, MovesPerHour: 400, HoldInSurge: true}, load: hot, surge: true, want: VerdictSurge},
		{name: "surge that admits moves", target: Target{Skew: 0.1, MovesPerHour: 400}, load: hot, surge: true, want: VerdictMove},
		{name: "too dear", target: Target{Skew: 0.1, MovesPerHour: 400}, cost: time.Hour, load: hot, want: VerdictNoGain},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			r := NewRebalancer(tt.target, Cost{PerCopy: tt.cost})
			r.Observe(now, tt.load)
			if d := r.Decide(now, even, tt.surge); d.Verdict != tt.want {
				t.Errorf("got %s (skew %.3f to %.3f, %d copies), want %s", d.Verdict, d.Before, d.After, d.Copies, tt.want)
			}
		})
	}
}

func TestMovesStayWithinHourlyBudget(t *testing.T) {
	const perHour = 40
	r := NewRebalancer(Target{Skew: 0.05, MovesPerHour: perHour}, Cost{})
	p := Even(64, 12, 8)
	now := time.Unix(0, 0)
	copies := 0
	for i := range 720 {
		now = now.Add(5 * time.Second)
		r.Observe(now, zipf(64, 1, uint64(i/20)))
		if d := r.Decide(now, p, false); d.Verdict == VerdictMove {
			copies += p.Copies(d.Placement, -1)
			p = d.Placement
		}
	}
	if limit := perHour + perHour/4 + 1; copies > limit {
		t.Errorf("%d copies in an hour, want at most %d", copies, limit)
	}
}

func BenchmarkImproveAtTarget(b *testing.B) {
	load := zipf(128, 0.8, 7)
	p := Even(128, 256, 2)
	b.ReportAllocs()
	for b.Loop() {
		Improve(p, load, 0.1, 64)
	}
}

func BenchmarkFullAtTarget(b *testing.B) {
	load := zipf(128, 0.8, 7)
	for b.Loop() {
		Rebuild(load, 256, 2)
	}
}
