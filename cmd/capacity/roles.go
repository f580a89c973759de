package main

import (
	"time"

	"geraniumpass/deploy"
	"geraniumpass/oper"
)

const (
	settle    = time.Second
	tokens    = 20
	fastPace  = time.Millisecond
	slowPace  = 20 * time.Millisecond
	rankCount = 128
)

// usual makes the usual series from what a process used at each size.
func usual(by string, sizes []int, got []used) []series {
	out := []series{
		{name: "processor", unit: "% of core", by: by},
		{name: "resident memory", unit: "MB", by: by},
		{name: "link bytes, both ways", unit: "B/s", by: by},
		{name: "frames sent", unit: "1/s", by: by},
		{name: "allocations", unit: "1/s", by: by},
	}
	for i, n := range sizes {
		for j, y := range []float64{got[i].cpu, got[i].resident, got[i].bytes, got[i].frames, got[i].mallocs} {
			out[j].points = append(out[j].points, point{x: float64(n), y: y})
		}
	}
	return out
}

func (r *runner) site(entries, agents, experts int, pace time.Duration, f oper.File) *site {
	fl, err := newFleet(agents, experts, pace)
	must(err)
	s, err := newSite(r.binary, r.dir, entries, fl, f)
	must(err)
	time.Sleep(settle)
	return s
}

// measured returns what a process uses while one size is measured.
func (r *runner) measured(p *deploy.Process) used {
	u, err := measure(p, r.while)
	must(err)
	return u
}
