package trial

import (
	"sort"
	"time"
)

// Result holds the measurements of a trial.
type Result struct {
	Scenario string
	Policy   Policy
	Lag      time.Duration
	// Useful is the work of the requests on target, in cost units per second and upstream.
	Useful  float64
	Classes []ClassResult
}

// ClassResult holds the results of one class. A request that was refused and retried does not count
// as on time.
type ClassResult struct {
	Class    string
	Sent     int
	OnTime   float64
	P95      time.Duration
	P99      time.Duration
	Refusals int
	// Unfairness is the largest relative shortfall of an account from its fair share of the class's
	// requests on time.
	Unfairness float64
	// Recovery is the time from the end of the surge until the class stays on target.
	Recovery time.Duration
}

const onTargetShare = 0.95

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

// unfairness compares what each account got with a max-min fair split, in which no account gets
// more than it requested.
func (t *tally) unfairness() float64 {
	total := 0
	demands := make([]int, 0, len(t.accounts))
	for _, s := range t.accounts {
		total += s.onTime
		demands = append(demands, s.sent)
	}
	sort.Ints(demands)
	evenShare, remaining := 0.0, float64(total)
	for i, d := range demands {
		evenShare = remaining / float64(len(demands)-i)
		if float64(d) >= evenShare {
			break
		}
		remaining -= float64(d)
	}
	worst := 0.0
	for _, s := range t.accounts {
		if fair := min(float64(s.sent), evenShare); fair > 0 {
			worst = max(worst, 1-float64(s.onTime)/fair)
		}
	}
	return worst
}

func (t *tally) recovery(end, duration time.Duration) time.Duration {
	if end == 0 {
		return 0
	}
	recovery := time.Duration(0)
	for k, s := range t.windows {
		from := time.Duration(k) * resultWindow
		if from >= end && ratio(s.onTime, s.sent) < onTargetShare {
			recovery = max(recovery, min(from+resultWindow, duration)-end)
		}
	}
	return recovery
}
