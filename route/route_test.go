package route

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"geraniumpass/core"
)

func picker() *Picker {
	return &Picker{
		Domain: "hall-a",
		Random: rand.New(rand.NewPCG(1, 2)),
	}
}

func busy(id, domain string, queued float64) Candidate {
	return Candidate{
		ID:        id,
		Domain:    domain,
		InUse:     8,
		Limit:     8,
		Running:   800,
		DrainRate: 1000,
		Queued:    []ClassCost{{LatencyTarget: time.Second, Cost: queued}},
	}
}

func TestPick(t *testing.T) {
	tests := []struct {
		name       string
		candidates []Candidate
		within     time.Duration
		want       string
	}{
		{name: "shorter wait at home", candidates: []Candidate{busy("a", "hall-a", 900), busy("b", "hall-a", 100)}, within: time.Second, want: "b"},
		{name: "home while the saving is small", candidates: []Candidate{busy("a", "hall-a", 10), busy("b", "hall-b", 0)}, within: time.Second, want: "a"},
		{name: "away when it saves more than it costs", candidates: []Candidate{busy("a", "hall-a", 900), busy("b", "hall-b", 0)}, within: time.Second, want: "b"},
		{name: "away when there is nobody at home", candidates: []Candidate{busy("b", "hall-b", 900)}, within: time.Second, want: "b"},
		{name: "looser work does not count for a tighter class", candidates: []Candidate{busy("a", "hall-a", 900), busy("b", "hall-b", 0)}, within: time.Millisecond, want: "a"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c, ok := picker().Pick(tt.candidates, Request{LatencyTarget: tt.within})
			if !ok || tt.candidates[c.Index].ID != tt.want {
				t.Errorf("got %+v (%t), want %s", c, ok, tt.want)
			}
		})
	}
	if _, ok := picker().Pick(nil, Request{}); ok {
		t.Error("picked an upstream from no candidates")
	}
}

func TestPrefixAffinityYieldsToLoad(t *testing.T) {
	var all []Candidate
	for i := range 6 {
		all = append(all, Candidate{
			ID:        fmt.Sprint("engine-", i),
			Domain:    "hall-a",
			Limit:     8,
			DrainRate: 1000,
		})
	}
	r := Request{
		LatencyTarget: time.Second,
		Prefix:        42,
	}
	first, _ := picker().Pick(all, r)
	for range 20 {
		if c, _ := picker().Pick(all, r); c.Index != first.Index {
			t.Fatalf("prefix was routed to upstreams %d and %d", first.Index, c.Index)
		}
	}
	all[first.Index] = busy(all[first.Index].ID, "hall-a", 5000)
	if c, _ := picker().Pick(all, r); c.Index == first.Index {
		t.Error("prefix stayed on an upstream whose load is far above the mean")
	}
}

func TestSubsetIsBoundedAndStable(t *testing.T) {
	var list []core.Instance
	for i := range 1000 {
		list = append(list, core.Instance{
			ID:      fmt.Sprintf("instance-%04d", i),
			Service: fmt.Sprint("model-", i%10),
			Domain:  fmt.Sprint("domain-", i%5),
		})
	}
	a := Subset("entry-1", "domain-0", list, 100)
	b := Subset("entry-1", "domain-0", list[:999], 100)
	if len(a) > 100 {
		t.Fatalf("%d links, want at most 100", len(a))
	}
	services := make(map[string]int)
	shared := make(map[string]bool)
	for _, in := range a {
		services[in.Service]++
		shared[in.ID] = true
	}
	if len(services) != 10 {
		t.Errorf("subset covers only %d of 10 services", len(services))
	}
	moved := 0
	for _, in := range b {
		if !shared[in.ID] {
			moved++
		}
	}
	if moved > 2 {
		t.Errorf("%d of 100 links changed after one instance left", moved)
	}
}

func ExamplePicker() {
	p := picker()
	c, _ := p.Pick([]Candidate{busy("near", "hall-a", 900), busy("far", "hall-b", 0)}, Request{LatencyTarget: time.Second})
	fmt.Println(c.Index, c.Wait)
	// Output: 1 100ms
}
