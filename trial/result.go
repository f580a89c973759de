package trial

import (
	"sort"
	"time"
)

// Result is what a trial has measured.
type Result struct {
	Scenario string
	Policy   Policy
	Lag      time.Duration
	// Useful is the work of requests on target, in cost units for each second of each upstream.
	Useful  float64
	Classes []ClassResult
}

// ClassResult is one class's part of a result; a request that was refused and came back does not count as on time.
type ClassResult struct {
	Class    string
	Sent     int
	OnTime   float64
	P95      time.Duration
	P99      time.Duration
	Refusals int
	// Unfairness is the largest part by which an account falls short of its even share of what the class got on time.
	Unfairness float64
	// Recovery is the time after the surge until the class stays on target.
	Recovery time.Duration
}

const onTarget = 0.95

func ratio(a, b int) float64 {
	if b == 0 {
		return 1
	}
	return float64(a) / float64(b)
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[int(q*float64(len(sorted)-1))]
}

// unfairness compares what each account got with an even split in which nobody gets more than it asked for.
func (t *tally) unfairness() float64 {
	total := 0
	demands := make([]int, 0, len(t.accounts))
	for _, s := range t.accounts {
		total += s.onTime
		demands = append(demands, s.sent)
	}
	sort.Ints(demands)
	level, left := 0.0, float64(total)
	for i, d := range demands {
		level = left / float64(len(demands)-i)
		if float64(d) >= level {
			break
		}
		left -= float64(d)
	}
	worst := 0.0
	for _, s := range t.accounts {
		if fair := min(float64(s.sent), level); fair > 0 {
			worst = max(worst, 1-float64(s.onTime)/fair)
		}
	}
	return worst
}

func (t *tally) recovery(ends, lasts time.Duration) time.Duration {
	if ends == 0 {
		return 0
	}
	last := time.Duration(0)
	for k, s := range t.windows {
		from := time.Duration(k) * window
		if from >= ends && ratio(s.onTime, s.sent) < onTarget {
			last = max(last, min(from+window, lasts)-ends)
		}
	}
	return last
}
