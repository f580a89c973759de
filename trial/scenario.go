package trial

import (
	"fmt"
	"time"
)

const (
	lookup = iota
	summary
	batch
)

// classes are those of the brief: lookups that must be quick beside summaries and large batches.
var classes = []Class{
	{Name: "lookup", Cost: 8, Within: 400 * time.Millisecond},
	{Name: "summary", Cost: 120, Within: 3 * time.Second},
	{Name: "batch", Cost: 400, Within: 30 * time.Second},
}

// largeAccounts of the ten send most of the work.
const largeAccounts = 3

// sources spreads rates over ten accounts, of which a few are large.
func sources(rates [3]func(time.Duration) float64) []Source {
	var out []Source
	for a := range 10 {
		part := 0.4 / 7
		if a < largeAccounts {
			part = 0.6 / largeAccounts
		}
		for c, rate := range rates {
			out = append(out, Source{
				Account: fmt.Sprintf("account-%d", a),
				Class:   c,
				Rate:    func(at time.Duration) float64 { return part * rate(at) },
			})
		}
	}
	return out
}

func constant(r float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return r }
}

// pulse is a rate that is times as high between two moments.
func pulse(r, times float64, from, to time.Duration) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= from && at < to {
			return r * times
		}
		return r
	}
}

// Scenarios returns the work loads made from the brief. The upstreams together make 48,000 tokens a second at the knee.
func Scenarios() []*Scenario {
	const (
		lasts = 90 * time.Second
		from  = 30 * time.Second
		to    = 50 * time.Second
	)
	steady := [3]func(time.Duration) float64{constant(500), constant(100), constant(10)}
	return []*Scenario{
		{Name: "steady", Classes: classes, Lasts: lasts, Sources: sources(steady)},
		{
			Name: "ten-fold surge of summaries", Classes: classes, Lasts: lasts, SurgeEnds: to,
			Sources: sources([3]func(time.Duration) float64{constant(500), pulse(100, 10, from, to), constant(10)}),
		},
		{
			Name: "ten-fold surge of batches", Classes: classes, Lasts: lasts, SurgeEnds: to,
			Sources: sources([3]func(time.Duration) float64{constant(500), constant(100), pulse(15, 10, from, to)}),
		},
		{
			Name: "morning surge of everything", Classes: classes, Lasts: lasts, SurgeEnds: to,
			Sources: sources([3]func(time.Duration) float64{pulse(500, 4, from, to), pulse(100, 4, from, to), pulse(10, 4, from, to)}),
		},
		{
			Name: "one upstream slow", Classes: classes, Lasts: lasts, SurgeEnds: to, Sources: sources(steady),
			Speed: func(u int, at time.Duration) float64 {
				if u == 0 && at >= from && at < to {
					return 0.2
				}
				return 1
			},
		},
		{
			Name: "one domain lost", Classes: classes, Lasts: lasts, SurgeEnds: to,
			Sources: sources([3]func(time.Duration) float64{constant(500), constant(180), constant(10)}),
			Speed: func(u int, at time.Duration) float64 {
				if u%domains == 0 && at >= from && at < to {
					return 0
				}
				return 1
			},
		},
	}
}
