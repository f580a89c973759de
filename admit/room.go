package admit

import (
	"math"
	"time"

	"github.com/samber/lo"

	"geraniumpass/plan"
)

const (
	// fillShare is the share of the room that is aimed at while more is wanted.
	fillShare = 0.93
	// correctionTime is the time in which a difference from the room is made up for. It is longer than
	// the delay of the statuses, which all entries act on together.
	correctionTime = 400 * time.Millisecond
	// demandWindow is the time constant in which the demand is smoothed: some steps, in which requests
	// finish in groups. shareWindow is about the age of the statuses.
	demandWindow = 500 * time.Millisecond
	shareWindow  = 150 * time.Millisecond
	// minKnownShare is the admitted share below which the demand can't be derived from the inflow.
	minKnownShare = 0.1
	// freeShare is the share of the room below which nothing is refused, whatever the trend.
	freeShare = 0.82
	// queueSteps is how many steps before its target a queued request should begin.
	queueSteps = 2
	// crowdedStep is the share of the permitted pause from which usual steps show that too much runs, and
	// maxWait the share of the aim that a request may wait in a queue; the rest is for reading its prompt.
	crowdedStep = 0.95
	maxWait     = 0.5
	// crowdedTime is how long groups count as crowded after they were.
	crowdedTime = time.Second
	// maxStatusAge is the age from which a status tells no more what a group holds: twice as long as an
	// agent sends the last loads of a leader that it doesn't hear any more.
	maxStatusAge = 2 * time.Second
	// maxGroups bounds the number of groups that are remembered.
	maxGroups = 256
)

// room is the state of all groups of a service: what they hold, what they can hold, and the share of
// requests that is admitted. All entries derive the same share from the same statuses.
type room struct {
	loads map[string]*load
	// current are the loads of the groups last observed, in their order.
	current []*load
	// share is the recent share of requests that was admitted. The inflow of all entries and
	// inflowShare, over the same longer time, tell the demand.
	share       float64
	inflow      float64
	inflowShare float64
	updatedAt   time.Time
	// crowdedAt is when groups were last seen to be crowded.
	crowdedAt time.Time
}

// space is the room of the usable groups for one pair of targets.
type space struct {
	// known is false if no group is usable or one of them has told nothing of its ranks.
	known bool
	// limit is how many requests the groups can hold, requests how many they are expected to hold.
	limit    float64
	requests float64
	// outflow and inflow are requests per second that finish and that are admitted.
	outflow float64
	inflow  float64
	// step and life are the longest duration of a step and of a stream in any group.
	step time.Duration
	life time.Duration
	// crowded reports whether the steps of a group were longer than permitted for a while, or a request
	// would wait so long in its queue that it couldn't begin in time.
	crowded bool
}

// observe records the statuses of the groups and reports whether one of them is new.
func (r *room) observe(now time.Time, terms engineTerms, groups []Group) bool {
	changed := false
	r.current = r.current[:0]
	for i := range groups {
		g := &groups[i]
		l := r.loads[g.Name]
		if l == nil {
			if len(r.loads) >= maxGroups {
				r.sweep(now)
			}
			l = &load{}
			r.loads[g.Name] = l
		}
		r.current = append(r.current, l)
		changed = l.update(now, terms, *g) || changed
	}
	return changed
}

func (r *room) sweep(now time.Time) {
	for name, l := range r.loads {
		if now.Sub(l.measuredAt) > forgetLoad {
			delete(r.loads, name)
		}
	}
}

// space returns the room for requests with the given targets in the groups last observed. The room of
// requests that others go before is what stays in time also while the steps are longest, so that they
// don't fill a group beyond what the others need then.
func (r *room) space(terms engineTerms, groups []Group, aim, gap time.Duration, yields bool) space {
	s := space{}
	usable := lo.CountBy(groups, func(g Group) bool { return g.Usable })
	admitted := r.demand() * r.share / float64(max(usable, 1))
	for i := range groups {
		g := &groups[i]
		if !g.Usable {
			continue
		}
		if g.Ranks <= 0 {
			return space{}
		}
		l := r.current[i]
		s.known = true
		unevenness := l.unevenness
		if yields {
			unevenness = max(unevenness, l.longest.unevenness)
		}
		limit := groupLimit(terms, g, unevenness, aim, gap)
		s.limit += limit
		s.requests += held(g, l, admitted, limit)
		s.outflow += l.outflow
		s.inflow += l.inflow
		s.step = max(s.step, l.step)
		s.crowded = s.crowded || isCrowded(g, l, aim, gap, yields)
	}
	s.life = terms.life(s.step)
	return s
}

// isCrowded reports whether requests are late because of the number of them.
func isCrowded(g *Group, l *load, aim, gap time.Duration, yields bool) bool {
	step := l.usualStep
	if yields {
		step = max(step, l.longest.step)
	}
	wait := float64(g.Waiting) / max(l.outflow, 1)
	return gap > 0 && float64(step) > crowdedStep*float64(gap) || aim > 0 && wait > maxWait*aim.Seconds()
}

// held returns how many requests a group is expected to hold. Without recent loads, as after the loss of
// its leader, it counts as filled as aimed at most, so that as many are admitted as have finished before.
func held(g *Group, l *load, admitted, limit float64) float64 {
	if g.Age > maxStatusAge {
		return min(l.requests, fillShare*limit)
	}
	return l.expected(g.Age, admitted, limit)
}

// groupLimit returns how many requests a group can hold: as many as it can run with steps in time
// and, if the slots are what bounds it, those that still begin in time after waiting.
func groupLimit(terms engineTerms, g *Group, unevenness float64, aim, gap time.Duration) float64 {
	perRank := terms.runnable(unevenness, gap)
	limit := perRank * float64(g.Ranks)
	if perRank < float64(terms.slots) {
		return limit
	}
	step := terms.step(unevenness, perRank)
	wait := max(aim-queueSteps*step, 0)
	return limit * (1 + min(wait.Seconds()/terms.life(step).Seconds(), maxTrend))
}

// admittedIfCrowded returns the share of requests to be admitted, which is less than one only if the
// groups are seen to be crowded, or lately were.
func (r *room) admittedIfCrowded(now time.Time, s space) float64 {
	if s.crowded {
		r.crowdedAt = now
	}
	if now.Sub(r.crowdedAt) > crowdedTime {
		return 1
	}
	return r.admitted(s)
}

// admitted returns the share of requests to be admitted: as many as finish, and as many more or less
// as the groups lack or exceed.
func (r *room) admitted(s space) float64 {
	wanted := s.outflow + (fillShare*s.limit-s.requests)/correctionTime.Seconds()
	switch {
	case s.requests < freeShare*s.limit:
		return 1
	case wanted <= 0:
		return 0
	case r.demand() <= wanted:
		return 1
	}
	return wanted / r.demand()
}

// demand returns how many requests per second all entries are asked for. Each of them admits the same
// share, so that it follows from the inflow.
func (r *room) demand() float64 {
	return r.inflow / max(r.inflowShare, minKnownShare)
}

// learn updates what is known of the demand after new statuses.
func (r *room) learn(now time.Time, s space) {
	since := now.Sub(r.updatedAt)
	r.updatedAt = now
	if since > forgetLoad {
		r.share = 1
		r.inflowShare = 1
		r.inflow = s.inflow
	}
	if r.share > minKnownShare {
		gain := 1 - math.Exp(-since.Seconds()/demandWindow.Seconds())
		r.inflow += gain * (s.inflow - r.inflow)
		r.inflowShare += gain * (r.share - r.inflowShare)
	}
	gain := 1 - math.Exp(-since.Seconds()/shareWindow.Seconds())
	r.share += gain * (r.admitted(s) - r.share)
}

// usableEngine reports whether the published terms suffice to derive the room of a group.
func usableEngine(e *plan.Engine) bool {
	return e != nil && e.Slots > 0 && e.StepMs > 0 && e.Answer > 0
}
