package main

import (
	"time"

	"geraniumpass/deploy"
	"geraniumpass/oper"
)

const (
	settleTime       = time.Second
	tokensPerRequest = 20
	fastPace         = time.Millisecond
	slowPace         = 20 * time.Millisecond
	expertCount      = 128
)

// usageSeries returns the standard series from the usage at each size.
func usageSeries(variable string, sizes []int, usages []usage) []series {
	out := []series{
		{name: "processor", unit: "% of core", variable: variable},
		{name: "resident memory", unit: "MB", variable: variable},
		{name: "link bytes, both ways", unit: "B/s", variable: variable},
		{name: "frames sent", unit: "1/s", variable: variable},
		{name: "allocations", unit: "1/s", variable: variable},
	}
	for i, n := range sizes {
		for j, y := range []float64{usages[i].cpu, usages[i].resident, usages[i].bytes, usages[i].frames, usages[i].mallocs} {
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
	time.Sleep(settleTime)
	return s
}

// measureUsage returns the usage of a process over the runner's interval.
func (r *runner) measureUsage(p *deploy.Process) usage {
	u, err := measure(p, r.interval)
	must(err)
	return u
}
