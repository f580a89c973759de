package place

import (
	"math"
	"time"

	"golang.org/x/time/rate"
)

const (
	// halfLife is the time in which a change of popularity is half believed.
	halfLife = 5 * time.Second
	// reach is how far below the target an improvement goes, so that the next small drift needs no move.
	reach = 0.7
	// burstShare is the part of an hour's moves that may be made at once.
	burstShare = 0.25
	// holdMost and holdLeast bound the time for which popularity is expected to hold.
	holdMost  = 10 * time.Minute
	holdLeast = 5 * time.Second
)

// Target is what an operator states for a group.
type Target struct {
	Skew         float64
	MovesPerHour int
	HoldInSurge  bool
}

// Cost is what moving takes: the time that the group loses for each copy loaded.
type Cost struct {
	PerCopy time.Duration
}

// Rebalancer decides when a group's placement changes; it is not safe for use by several goroutines.
type Rebalancer struct {
	target Target
	cost   Cost
	budget *rate.Limiter
	fast   []float64
	slow   []float64
	last   time.Time
}

// Verdict says why a placement is kept or changed.
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

// Decision is a placement to switch to, when the verdict is VerdictMove, with what it takes and what it reaches.
type Decision struct {
	Verdict   Verdict
	Placement *Placement
	Copies    int
	Before    float64
	After     float64
}

// NewRebalancer returns a rebalancer that has seen nothing and may spend a first burst of moves.
func NewRebalancer(target Target, cost Cost) *Rebalancer {
	r := &Rebalancer{cost: cost}
	r.SetTarget(target)
	return r
}

// SetTarget takes a changed target; moves already spent stay spent.
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

// Observe takes the tokens that each expert has drawn lately.
func (r *Rebalancer) Observe(now time.Time, tokens []float64) {
	if len(r.fast) != len(tokens) {
		r.fast = append([]float64{}, tokens...)
		r.slow = append([]float64{}, tokens...)
		r.last = now
		return
	}
	dt := now.Sub(r.last).Seconds()
	r.last = now
	fast := 1 - math.Exp2(-dt/halfLife.Seconds())
	slow := 1 - math.Exp2(-dt/(8*halfLife.Seconds()))
	for e, t := range tokens {
		r.fast[e] += fast * (t - r.fast[e])
		r.slow[e] += slow * (t - r.slow[e])
	}
}

// Load returns the smoothed popularity by expert.
func (r *Rebalancer) Load() []float64 {
	return r.fast
}

// Decide returns whether and how to change the placement; it books the copies of a move.
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
	d.Placement, d.Copies = Improve(p, r.fast, r.target.Skew*reach, left)
	d.After = d.Placement.Skew(r.fast)
	if d.Copies == 0 || !r.pays(d) {
		d.Verdict = VerdictNoGain
		return d
	}
	d.Verdict = VerdictMove
	r.budget.AllowN(now, d.Copies)
	return d
}

// pays compares the time that steps become shorter, for as long as the popularity is expected to hold, with the time that the move takes.
func (r *Rebalancer) pays(d Decision) bool {
	gain := 1 - (1+d.After)/(1+d.Before)
	return gain*r.hold().Seconds() > float64(d.Copies)*r.cost.PerCopy.Seconds()
}

// hold estimates for how long the popularity stays as it is, from how far the quick and the slow average lie apart.
func (r *Rebalancer) hold() time.Duration {
	sum, diff := 0.0, 0.0
	for e := range r.fast {
		sum += r.slow[e]
		diff += math.Abs(r.fast[e] - r.slow[e])
	}
	if sum <= 0 || diff <= 0 {
		return holdMost
	}
	apart := diff / sum
	return min(max(time.Duration(float64(8*halfLife)*0.1/apart), holdLeast), holdMost)
}
