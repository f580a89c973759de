package route

import (
	"math/rand/v2"
	"testing"
)

func TestLeastLoaded(t *testing.T) {
	tests := []struct {
		name string
		seen []InstanceView
		want int
	}{
		{"none", nil, -1},
		{"less load", []InstanceView{{Domain: "a", Load: 3, Slots: 6, HasIdleConn: true}, {Domain: "a", Load: 1, Slots: 6, HasIdleConn: true}}, 1},
		{"own domain when equal", []InstanceView{{Domain: "b", Slots: 6}, {Domain: "a", Slots: 6}}, 1},
		{"elsewhere when it saves much", []InstanceView{{Domain: "b", Slots: 6}, {Domain: "a", Load: 5, Slots: 6}}, 0},
		{"preferred when equal", []InstanceView{{Domain: "a", Slots: 6}, {Domain: "a", Slots: 6, Preferred: true}}, 1},
		{"another when it saves much", []InstanceView{{Domain: "a", Slots: 6}, {Domain: "a", Load: 4, Slots: 6, Preferred: true}}, 0},
		{"failures weigh", []InstanceView{{Domain: "a", Slots: 6, Penalty: 1}, {Domain: "a", Load: 2, Slots: 6}}, 1},
		{"barred only alone", []InstanceView{{Domain: "a", LastResort: true}, {Domain: "b", Load: 20, Slots: 6}}, 1},
		{"barred rather than none", []InstanceView{{Domain: "a", LastResort: true}}, 0},
	}
	for _, tt := range tests {
		if got := LeastLoaded(tt.seen, "a", rand.New(rand.NewPCG(1, 2))); got != tt.want {
			t.Errorf("%s: picked %d, want %d", tt.name, got, tt.want)
		}
	}
}

func TestLeastLoadedSpreadsTies(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	seen := make([]InstanceView, 4)
	counts := make([]int, 4)
	for range 4000 {
		counts[LeastLoaded(seen, "", random)]++
	}
	for i, n := range counts {
		if n < 850 || n > 1150 {
			t.Errorf("instance %d got %d of 4000 equal picks", i, n)
		}
	}
}
