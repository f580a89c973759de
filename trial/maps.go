package trial

import (
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"geraniumpass/place"
)

// MapScenario describes a group whose expert popularity drifts.
type MapScenario struct {
	Name     string
	Experts  int
	Ranks    int
	Slots    int
	Duration time.Duration
	// Popularity returns the number of tokens routed to each expert.
	Popularity func(at time.Duration) []float64
	// Surge reports whether a traffic surge is in progress.
	Surge func(at time.Duration) bool
}

// MapPolicy is a rule for changing placements.
type MapPolicy struct {
	Name string
	// Target configures the rebalancer. Without it, the placement is rebuilt every Timer (never if
	// zero), or only improved if TimerImproves is set.
	Target        *place.Target
	Timer         time.Duration
	TimerImproves bool
}

// MapResult holds the cost and the achieved balance of a placement policy.
type MapResult struct {
	Scenario string
	Policy   string
	// SkewP50 and SkewP95 are quantiles over the steps of the slowest rank's load above the mean,
	// which is the load under the best fractional placement. SpreadP95 is a quantile of the
	// difference between the slowest and the fastest rank. All are shares of the mean.
	SkewP50         float64
	SkewP95         float64
	SpreadP95       float64
	Copies          int
	Switches        int
	SwitchesInSurge int
	LongestDecision time.Duration
}

const (
	mapInterval    = time.Second
	decideInterval = 2 * time.Second
	// observeLag is the delay after which the popularity is known.
	observeLag = time.Second
	copyCost   = 10 * time.Millisecond
)

// RunMaps simulates a scenario under a policy, with noise drawn from the seed.
func RunMaps(s *MapScenario, p MapPolicy, seed uint64) MapResult {
	random := rand.New(rand.NewPCG(seed, 2))
	current := place.Even(s.Experts, s.Ranks, s.Slots)
	r := MapResult{
		Scenario: s.Name,
		Policy:   p.Name,
	}
	var balancer *place.Rebalancer
	if p.Target != nil {
		balancer = place.NewRebalancer(*p.Target, place.Cost{PerCopy: copyCost})
	}
	var skews, spreads []float64
	for at := time.Duration(0); at < s.Duration; at += mapInterval {
		load := withNoise(s.Popularity(at), random)
		skews = append(skews, current.Skew(load))
		spreads = append(spreads, current.Spread(load))
		observed := withNoise(s.Popularity(max(at-observeLag, 0)), random)
		next := decide(s, p, balancer, current, observed, at, &r)
		if next == nil {
			continue
		}
		copies := current.Copies(next, -1)
		r.Copies += copies
		r.Switches++
		if s.Surge(at) {
			r.SwitchesInSurge++
		}
		current = next
	}
	r.SkewP50, r.SkewP95 = floatQuantile(skews, 0.5), floatQuantile(skews, 0.95)
	r.SpreadP95 = floatQuantile(spreads, 0.95)
	return r
}

func decide(s *MapScenario, p MapPolicy, b *place.Rebalancer, current *place.Placement, observed []float64, at time.Duration, r *MapResult) *place.Placement {
	now := epoch.Add(at)
	started := time.Now()
	defer func() { r.LongestDecision = max(r.LongestDecision, time.Since(started)) }()
	switch {
	case b != nil:
		b.Observe(now, observed)
		if at%decideInterval != 0 {
			return nil
		}
		if d := b.Decide(now, current, s.Surge(at)); d.Verdict == place.VerdictMove {
			return d.Placement
		}
	case p.Timer > 0 && at > 0 && at%p.Timer == 0:
		if !p.TimerImproves {
			return place.Rebuild(observed, s.Ranks, s.Slots)
		}
		next, copies := place.Improve(current, observed, 0, s.Ranks*s.Slots)
		if copies > 0 {
			return next
		}
	}
	return nil
}

func withNoise(p []float64, random *rand.Rand) []float64 {
	const noise = 0.05
	out := make([]float64, len(p))
	for i, v := range p {
		out[i] = v * math.Exp(noise*random.NormFloat64())
	}
	return out
}

func floatQuantile(list []float64, q float64) float64 {
	sorted := append([]float64{}, list...)
	sort.Float64s(sorted)
	return sorted[int(q*float64(len(sorted)-1))]
}

// MapScenarios returns slow, medium and sudden drifts at the current size, and one at the target
// size to assess the cost of a decision.
func MapScenarios() []*MapScenario {
	const duration = 2 * time.Hour
	morningSurge := func(at time.Duration) bool { return at > 40*time.Minute && at < 60*time.Minute }
	noSurge := func(time.Duration) bool { return false }
	currentSize := func(name string, p func(time.Duration) []float64, surge func(time.Duration) bool) *MapScenario {
		return &MapScenario{
			Name:       name,
			Experts:    64,
			Ranks:      12,
			Slots:      8,
			Duration:   duration,
			Popularity: p,
			Surge:      surge,
		}
	}
	return []*MapScenario{
		currentSize("season", drift(64, 1, duration, 0.7), noSurge),
		currentSize("spells", drift(64, 2, 20*time.Minute, 0.7), noSurge),
		currentSize("bursts", burst(64, 3), noSurge),
		currentSize("morning surge", drift(64, 4, 15*time.Minute, 0.9), morningSurge),
		{
			Name:       "spells at the target's size",
			Experts:    128,
			Ranks:      256,
			Slots:      2,
			Duration:   20 * time.Minute,
			Popularity: drift(128, 5, 20*time.Minute, 0.5),
			Surge:      noSurge,
		},
	}
}

// drift interpolates linearly between random popularities, one for each period.
func drift(experts int, seed uint64, period time.Duration, exponent float64) func(time.Duration) []float64 {
	shapes := make(map[int][]float64)
	shape := func(k int) []float64 {
		if shapes[k] == nil {
			shapes[k] = zipf(experts, exponent, seed*1000+uint64(k))
		}
		return shapes[k]
	}
	return func(at time.Duration) []float64 {
		k := int(at / period)
		f := float64(at%period) / float64(period)
		a, b := shape(k), shape(k+1)
		out := make([]float64, experts)
		for e := range out {
			out[e] = a[e]*(1-f) + b[e]*f
		}
		return out
	}
}

// burst makes a few experts hot for two minutes out of every ten.
func burst(experts int, seed uint64) func(time.Duration) []float64 {
	base := zipf(experts, 0.5, seed)
	return func(at time.Duration) []float64 {
		out := append([]float64{}, base...)
		if at%(10*time.Minute) < 2*time.Minute {
			random := rand.New(rand.NewPCG(seed, uint64(at/(10*time.Minute))))
			for range 3 {
				out[random.IntN(experts)] *= 6
			}
		}
		return out
	}
}

func zipf(experts int, exponent float64, seed uint64) []float64 {
	random := rand.New(rand.NewPCG(seed, 1))
	load := make([]float64, experts)
	for i, e := range random.Perm(experts) {
		load[e] = 1000 / math.Pow(float64(i+1), exponent)
	}
	return load
}
