package trial

import (
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"geraniumpass/place"
)

// MapScenario is a group whose experts' popularity drifts.
type MapScenario struct {
	Name    string
	Experts int
	Ranks   int
	Slots   int
	Lasts   time.Duration
	// Popularity returns the tokens that each expert draws at a moment.
	Popularity func(at time.Duration) []float64
	// Surge returns true while a surge lasts.
	Surge func(at time.Duration) bool
}

// MapPolicy decides on placements.
type MapPolicy struct {
	Name string
	// Target is used by the rebalancer; a timer replaces everything each Timer instead, or only improves with TimerImproves.
	Target        *place.Target
	Timer         time.Duration
	TimerImproves bool
}

// MapResult is what a placement policy has cost and reached.
type MapResult struct {
	Scenario string
	Policy   string
	// SkewP50 and SkewP95 are quantiles over the steps of the slowest rank's load above the mean, which is the load of the best
	// fractional placement; SpreadP95 is that of the distance between slowest and fastest.
	SkewP50   float64
	SkewP95   float64
	SpreadP95 float64
	Copies    int
	Switches  int
	InSurge   int
	Slowest   time.Duration
}

const (
	mapTick     = time.Second
	decideEvery = 2 * time.Second
	// observeLag is how late the popularity is known.
	observeLag = time.Second
	copyCost   = 10 * time.Millisecond
)

// RunMaps plays a scenario under a policy; noise is drawn from the seed.
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
	for at := time.Duration(0); at < s.Lasts; at += mapTick {
		load := noisy(s.Popularity(at), random)
		skews = append(skews, current.Skew(load))
		spreads = append(spreads, current.Spread(load))
		seen := noisy(s.Popularity(max(at-observeLag, 0)), random)
		next := decide(s, p, balancer, current, seen, at, &r)
		if next == nil {
			continue
		}
		copies := current.Copies(next, -1)
		r.Copies += copies
		r.Switches++
		if s.Surge(at) {
			r.InSurge++
		}
		current = next
	}
	r.SkewP50, r.SkewP95 = of(skews, 0.5), of(skews, 0.95)
	r.SpreadP95 = of(spreads, 0.95)
	return r
}

func decide(s *MapScenario, p MapPolicy, b *place.Rebalancer, current *place.Placement, seen []float64, at time.Duration, r *MapResult) *place.Placement {
	now := epoch.Add(at)
	started := time.Now()
	defer func() { r.Slowest = max(r.Slowest, time.Since(started)) }()
	switch {
	case b != nil:
		b.Observe(now, seen)
		if at%decideEvery != 0 {
			return nil
		}
		if d := b.Decide(now, current, s.Surge(at)); d.Verdict == place.VerdictMove {
			return d.Placement
		}
	case p.Timer > 0 && at > 0 && at%p.Timer == 0:
		if !p.TimerImproves {
			return place.Rebuild(seen, s.Ranks, s.Slots)
		}
		next, copies := place.Improve(current, seen, 0, s.Ranks*s.Slots)
		if copies > 0 {
			return next
		}
	}
	return nil
}

func noisy(p []float64, random *rand.Rand) []float64 {
	const noise = 0.05
	out := make([]float64, len(p))
	for i, v := range p {
		out[i] = v * math.Exp(noise*random.NormFloat64())
	}
	return out
}

func of(list []float64, q float64) float64 {
	sorted := append([]float64{}, list...)
	sort.Float64s(sorted)
	return sorted[int(q*float64(len(sorted)-1))]
}

// MapScenarios returns drifts by season, by spell and by sudden burst, at today's size and, for the cost, at the target's.
func MapScenarios() []*MapScenario {
	const lasts = 2 * time.Hour
	morning := func(at time.Duration) bool { return at > 40*time.Minute && at < 60*time.Minute }
	never := func(time.Duration) bool { return false }
	today := func(name string, p func(time.Duration) []float64, surge func(time.Duration) bool) *MapScenario {
		return &MapScenario{
			Name:       name,
			Experts:    64,
			Ranks:      12,
			Slots:      8,
			Lasts:      lasts,
			Popularity: p,
			Surge:      surge,
		}
	}
	return []*MapScenario{
		today("season", blend(64, 1, lasts, 0.7), never),
		today("spells", blend(64, 2, 20*time.Minute, 0.7), never),
		today("bursts", burst(64, 3), never),
		today("morning surge", blend(64, 4, 15*time.Minute, 0.9), morning),
		{
			Name:       "spells at the target's size",
			Experts:    128,
			Ranks:      256,
			Slots:      2,
			Lasts:      20 * time.Minute,
			Popularity: blend(128, 5, 20*time.Minute, 0.5),
			Surge:      never,
		},
	}
}

// blend goes over from one popularity to the next in each period.
func blend(experts int, seed uint64, period time.Duration, exponent float64) func(time.Duration) []float64 {
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

// burst makes a few experts hot for two minutes in every ten.
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
