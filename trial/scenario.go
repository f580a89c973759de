package trial

import (
	"fmt"
	"time"
)

// classes combines lookups with a tight target, summaries and large batches.
var classes = []Class{
	{Name: "lookup", Cost: 8, LatencyTarget: 400 * time.Millisecond},
	{Name: "summary", Cost: 120, LatencyTarget: 3 * time.Second},
	{Name: "batch", Cost: 400, LatencyTarget: 30 * time.Second},
}

// All trials have the same duration, with the surge or the fault in the middle.
const (
	trialDuration = 90 * time.Second
	surgeStart    = 30 * time.Second
	surgeEnd      = 50 * time.Second
)

// largeAccounts is how many of the ten accounts send most of the work.
const largeAccounts = 3

// sources distributes the rates over ten accounts, a few of them large.
func sources(rates [3]func(time.Duration) float64) []Source {
	var out []Source
	for a := range 10 {
		fraction := 0.4 / 7
		if a < largeAccounts {
			fraction = 0.6 / largeAccounts
		}
		for c, rate := range rates {
			out = append(out, Source{
				Account: fmt.Sprintf("account-%d", a),
				Class:   c,
				Rate:    func(at time.Duration) float64 { return fraction * rate(at) },
			})
		}
	}
	return out
}

func constant(r float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return r }
}

// pulse returns a rate that is multiplied by factor during the surge.
func pulse(r, factor float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= surgeStart && at < surgeEnd {
			return r * factor
		}
		return r
	}
}

// Scenarios returns the simulated workloads. At the knee, the upstreams together produce 48,000
// tokens per second.
func Scenarios() []*Scenario {
	rates := [3]func(time.Duration) float64{constant(500), constant(100), constant(10)}
	return []*Scenario{
		{Name: "steady", Classes: classes, Duration: trialDuration, Sources: sources(rates)},
		{
			Name: "ten-fold surge of summaries", Classes: classes, Duration: trialDuration, SurgeEnd: surgeEnd,
			Sources: sources([3]func(time.Duration) float64{constant(500), pulse(100, 10), constant(10)}),
		},
		{
			Name: "ten-fold surge of batches", Classes: classes, Duration: trialDuration, SurgeEnd: surgeEnd,
			Sources: sources([3]func(time.Duration) float64{constant(500), constant(100), pulse(15, 10)}),
		},
		{
			Name: "morning surge of everything", Classes: classes, Duration: trialDuration, SurgeEnd: surgeEnd,
			Sources: sources([3]func(time.Duration) float64{pulse(500, 4), pulse(100, 4), pulse(10, 4)}),
		},
		{
			Name: "one upstream slow", Classes: classes, Duration: trialDuration, SurgeEnd: surgeEnd, Sources: sources(rates),
			Speed: func(u int, at time.Duration) float64 {
				if u == 0 && at >= surgeStart && at < surgeEnd {
					return 0.2
				}
				return 1
			},
		},
		{
			Name: "one domain lost", Classes: classes, Duration: trialDuration, SurgeEnd: surgeEnd,
			Sources: sources([3]func(time.Duration) float64{constant(500), constant(180), constant(10)}),
			Speed: func(u int, at time.Duration) float64 {
				if u%domains == 0 && at >= surgeStart && at < surgeEnd {
					return 0
				}
				return 1
			},
		},
	}
}
