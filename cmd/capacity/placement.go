package main

import (
	"math"
	"runtime"
	"time"

	"geraniumpass/place"
)

func (r *runner) placement() []series {
	improve := series{name: "improving a placement, 128 experts", unit: "ms", variable: "ranks"}
	for _, n := range []int{64, 96, 128, 192, 256} {
		load := make([]float64, expertCount)
		for e := range load {
			load[e] = 1000 / math.Pow(float64(e+1), 0.8)
		}
		p := place.Even(expertCount, n, slotsPerRank)
		runtime.GC()
		const rounds = 20
		started := time.Now()
		for range rounds {
			place.Improve(p, load, 0.1, 64)
		}
		improve.points = append(improve.points, point{x: float64(n), y: time.Since(started).Seconds() * 1000 / rounds})
	}
	return []series{improve}
}
