package place

import (
	"math"
	"time"

	"golang.org/x/time/rate"
)

const (
	// popularityHalfLife is the half-life of the fast popularity average.
	popularityHalfLife = 5 * time.Second
	// targetMargin is the factor by which an improvement goes below the target, so that the next
	// small drift needs no move.
	targetMargin = 0.7
	// burstShare is the share of an hour's moves that may be made at once.
	burstShare = 0.25
	// maxStability and minStability bound the time for which popularity is expected to stay
	// unchanged.
	maxStability = 10 * time.Minute
	minStability = 5 * time.Second
)

// Target is the operator's rebalancing target for a group.
type Target struct {
	Skew         float64
	MovesPerHour int
	HoldInSurge  bool
}

// Cost is the cost of a move: the time that the group loses per copy loaded.
type Cost struct {
	PerCopy time.Duration
}

// Rebalancer decides when a group's placement changes; it is not safe for concurrent use.
type Rebalancer struct {
	target Target
	cost   Cost
	budget *rate.Limiter
	fast   []float64
	slow   []float64
	last   time.Time
}

// Verdict is the reason why a placement is kept or changed.
type Verdict string

// The verdicts of a decision.
const (
	VerdictNoData   Verdict = "no_data"
	VerdictOnTarget Verdict = "on_target"
	VerdictSurge    Verdict = "held_in_surge"
	VerdictBudget   Verdict = "no_moves_left"
	VerdictNoGain   Verdict = "would_not_pay"
	VerdictMove     Verdict = "move"
)

// Decision is the placement to switch to if the verdict is VerdictMove, its copies, and the skew
// before and after.
type Decision struct {
	Verdict   Verdict
	Placement *Placement
	Copies    int
	Before    float64
	After     float64
}

// NewRebalancer returns a rebalancer without samples and with a full burst of moves.
func NewRebalancer(target Target, cost Cost) *Rebalancer {
	r := &Rebalancer{cost: cost}
	r.SetTarget(target)
	return r
}

// SetTarget replaces the target and its move budget; an unchanged target keeps the budget already
// spent.
func (r *Rebalancer) SetTarget(target Target) {
	if r.budget != nil && target == r.target {
		return
	}
	perSecond := rate.Limit(float64(target.MovesPerHour) / time.Hour.Seconds())
	burst := max(1, int(float64(target.MovesPerHour)*burstShare))
	if target.MovesPerHour == 0 {
		burst = 0
	}
	r.target = target
	r.budget = rate.NewLimiter(perSecond, burst)
}

// Observe records the recent token counts of the experts.
func (r *Rebalancer) Observe(now time.Time, tokens []float64) {
	if len(r.fast) != len(tokens) {
		r.fast = append([]float64{}, tokens...)
		r.slow = append([]float64{}, tokens...)
		r.last = now
		return
	}
	dt := now.Sub(r.last).Seconds()
	r.last = now
	fast := 1 - math.Exp2(-dt/popularityHalfLife.Seconds())
	slow := 1 - math.Exp2(-dt/(8*popularityHalfLife.Seconds()))
	for e, t := range tokens {
		r.fast[e] += fast * (t - r.fast[e])
		r.slow[e] += slow * (t - r.slow[e])
	}
}

// Load returns the smoothed popularity by expert.
func (r *Rebalancer) Load() []float64 {
	return r.fast
}

// Decide returns whether and how to change the placement; it charges the copies of a move to the
// budget.
func (r *Rebalancer) Decide(now time.Time, p *Placement, surge bool) Decision {
	if len(r.fast) != len(p.Experts) {
		return Decision{Verdict: VerdictNoData}
	}
	d := Decision{Before: p.Skew(r.fast)}
	switch {
	case d.Before <= r.target.Skew:
		d.Verdict = VerdictOnTarget
		return d
	case surge && r.target.HoldInSurge:
		d.Verdict = VerdictSurge
		return d
	}
	left := int(r.budget.TokensAt(now))
	if left < 1 {
		d.Verdict = VerdictBudget
		return d
	}
	d.Placement, d.Copies = Improve(p, r.fast, r.target.Skew*targetMargin, left)
	d.After = d.Placement.Skew(r.fast)
	if d.Copies == 0 || !r.isWorthwhile(d) {
		d.Verdict = VerdictNoGain
		return d
	}
	d.Verdict = VerdictMove
	r.budget.AllowN(now, d.Copies)
	return d
}

// isWorthwhile reports whether the time saved by shorter steps, for as long as popularity is
// expected to stay unchanged, exceeds the time that the move takes.
func (r *Rebalancer) isWorthwhile(d Decision) bool {
	gain := 1 - (1+d.After)/(1+d.Before)
	return gain*r.expectedStability().Seconds() > float64(d.Copies)*r.cost.PerCopy.Seconds()
}

// expectedStability estimates for how long popularity stays unchanged, from the distance between
// the fast and the slow average.
func (r *Rebalancer) expectedStability() time.Duration {
	sum, diff := 0.0, 0.0
	for e := range r.fast {
		sum += r.slow[e]
		diff += math.Abs(r.fast[e] - r.slow[e])
	}
	if sum <= 0 || diff <= 0 {
		return maxStability
	}
	apart := diff / sum
	return min(max(time.Duration(float64(8*popularityHalfLife)*0.1/apart), minStability), maxStability)
}
