package admit

import (
	"math"
	"slices"
	"time"

	"geraniumpass/plan"
)

const (
	// gapShare is the share of the permitted pause that the steps of a group may take. The rest is
	// for delivery and for the variation between steps.
	gapShare = 0.85
	// sampleWindow is the period whose median step time counts. It is more than twice as long as the
	// steps stay longer after the experts in demand have changed, before a new map is in force.
	sampleWindow = 1200 * time.Millisecond
	maxSamples   = 16
	// minSamples and minSpan are how many statuses within it are needed to change what was learned, and
	// the time between the first and the last of them.
	minSamples = 8
	minSpan    = time.Second
	// calmingTime is the time constant in which the unevenness goes down; it goes up at once. A group
	// that is relieved shows less of it, and is not to be filled again by that alone.
	calmingTime = 2 * time.Second
	// usualUnevenness is assumed of groups that have not shown less with tellingShare of their slots in
	// use: uneven ranks cost little at low load. It comes back in forgetTime at lower load.
	usualUnevenness = 1.9
	tellingShare    = 0.7
	forgetTime      = 10 * time.Second
	// maxUnevenness bounds what is attributed to unevenness of ranks and experts.
	maxUnevenness = 4
	// prefillSpread is how many more prompts the busiest rank reads in a step than the mean rank, as a
	// multiple of the mean.
	prefillSpread = 1.5
	// trendWindow is the time constant in which the change of a group's load is smoothed.
	trendWindow = 200 * time.Millisecond
	// newStatus is the least difference in time between two statuses of a group.
	newStatus = 20 * time.Millisecond
	// forgetLoad is the pause between statuses after which no trend is derived from them.
	forgetLoad = time.Second
	// maxTrend bounds the correction for the age of a status, as a share of the group's slots.
	maxTrend = 0.5
)

// Group is the load and condition of one rank group as an entry sees it.
type Group struct {
	Name string
	// Usable reports whether the group is neither stalled nor closed.
	Usable bool
	// Ranks is the number of instances of the group.
	Ranks int
	// Running and Waiting are the numbers of requests in the batches and the queues of all ranks.
	Running int
	Waiting int
	// StepTime is the recent duration of a step, zero while unknown; Age is how old the status is.
	StepTime time.Duration
	Age      time.Duration
}

type sample struct {
	at         time.Time
	step       time.Duration
	unevenness float64
}

// load is what an entry has learned of one group from its statuses.
type load struct {
	measuredAt time.Time
	requests   float64
	// trend is the change of requests, inflow and outflow the estimated numbers of requests that are
	// admitted and that finish, per second.
	trend   float64
	inflow  float64
	outflow float64
	// unevenness is learned from the median of the samples, step is the last one.
	unevenness float64
	step       time.Duration
	samples    []sample
	// usualStep is the median step time of the samples.
	usualStep time.Duration
	// longest is what counts for requests that others go before.
	longest longest
}

// update records a status and reports whether it is a new one.
func (l *load) update(now time.Time, terms engineTerms, g Group) bool {
	at := now.Add(-g.Age)
	since := at.Sub(l.measuredAt)
	if since < newStatus {
		return false
	}
	requests := float64(g.Running + g.Waiting)
	l.sample(at, terms, g)
	l.outflow = 0
	if g.StepTime > 0 {
		l.outflow = float64(g.Running) / terms.life(g.StepTime).Seconds()
	}
	switch {
	case l.measuredAt.IsZero() || since > forgetLoad:
		l.trend = 0
		l.inflow = l.outflow
	default:
		gain := 1 - math.Exp(-since.Seconds()/trendWindow.Seconds())
		l.trend += gain * ((requests-l.requests)/since.Seconds() - l.trend)
		l.inflow = max(0, l.trend+l.outflow)
	}
	l.measuredAt = at
	l.requests = requests
	return true
}

func (l *load) sample(at time.Time, terms engineTerms, g Group) {
	for len(l.samples) > 0 && at.Sub(l.samples[0].at) > sampleWindow {
		l.samples = slices.Delete(l.samples, 0, 1)
	}
	if l.step == 0 {
		l.unevenness = usualUnevenness
		l.step = terms.step(1, float64(terms.slots))
	}
	if g.Running <= 0 || g.StepTime <= 0 || g.Ranks <= 0 {
		return
	}
	l.step = g.StepTime
	l.longest.add(at, terms, g)
	if len(l.samples) == maxSamples {
		l.samples = slices.Delete(l.samples, 0, 1)
	}
	l.samples = append(l.samples, sample{
		at:         at,
		step:       g.StepTime,
		unevenness: terms.unevenness(g.StepTime, float64(g.Running)/float64(g.Ranks)),
	})
	if len(l.samples) < minSamples || at.Sub(l.samples[0].at) < minSpan {
		return
	}
	var values [maxSamples]float64
	sorted := values[:len(l.samples)]
	var steps [maxSamples]time.Duration
	sortedSteps := steps[:len(l.samples)]
	for i, s := range l.samples {
		sorted[i], sortedSteps[i] = s.unevenness, s.step
	}
	slices.Sort(sorted)
	slices.Sort(sortedSteps)
	l.usualStep = sortedSteps[(len(sortedSteps)-1)/2]
	l.learn(sorted[(len(sorted)-1)/2], terms.slots, g, at.Sub(l.measuredAt))
}

// learn adapts the unevenness to the one seen during the last status.
func (l *load) learn(seen float64, slots int, g Group, since time.Duration) {
	window := calmingTime
	telling := float64(g.Running) >= tellingShare*float64(slots*g.Ranks)
	if !telling && seen < usualUnevenness {
		seen = usualUnevenness
		if l.unevenness < usualUnevenness {
			window = forgetTime
		}
	}
	if seen > l.unevenness && window == calmingTime {
		l.unevenness = seen
		return
	}
	l.unevenness += (1 - math.Exp(-since.Seconds()/window.Seconds())) * (seen - l.unevenness)
}

// expected returns how many requests the group has now: those of its last status and the change since,
// the larger one of the trend and of what all entries are thought to have admitted meanwhile.
func (l *load) expected(age time.Duration, admitted, limit float64) float64 {
	change := max(l.trend, admitted-l.outflow) * min(age, forgetLoad).Seconds()
	return max(0, l.requests+min(max(change, -maxTrend*limit), maxTrend*limit))
}

// engineTerms are the published terms of an engine, in milliseconds and tokens.
type engineTerms struct {
	slots      int
	stepTokens float64
	stepMs     float64
	sequenceMs float64
	promptMs   float64
	events     float64
}

// newEngineTerms returns the terms for streams of answer tokens.
func newEngineTerms(e *plan.Engine, answer float64) engineTerms {
	t := engineTerms{
		slots:      e.Slots,
		stepTokens: float64(max(e.StepTokens, 1)),
		stepMs:     e.StepMs,
		sequenceMs: e.SequenceMs,
	}
	if e.ReadPerSecond > 0 {
		t.promptMs = e.Prompt / e.ReadPerSecond * 1000
	}
	t.events = max(answer/t.stepTokens, 1)
	return t
}

// fixedMs and requestMs are the two parts of a step: that of any step, and that of each request of a
// rank. A prompt is read in nearly all steps by one of the ranks, which all others wait for.
func (t *engineTerms) fixedMs() float64 {
	return t.stepTokens*t.stepMs + t.promptMs
}

func (t *engineTerms) requestMs(unevenness float64) float64 {
	return t.stepTokens*t.sequenceMs*unevenness + prefillSpread*t.promptMs/t.events
}

// step returns the duration of a step with the given number of requests on each rank.
func (t *engineTerms) step(unevenness, running float64) time.Duration {
	ms := t.fixedMs() + t.requestMs(unevenness)*running
	return time.Duration(ms * float64(time.Millisecond))
}

// unevenness returns the factor that explains an observed step time.
func (t *engineTerms) unevenness(step time.Duration, running float64) float64 {
	even := t.stepTokens * t.sequenceMs * running
	if even <= 0 {
		return 1
	}
	rest := milliseconds(step) - t.fixedMs() - prefillSpread*t.promptMs/t.events*running
	return min(max(rest/even, 1), maxUnevenness)
}

// runnable returns how many requests a rank can run while the steps stay within gapShare of the gap.
func (t *engineTerms) runnable(unevenness float64, gap time.Duration) float64 {
	slots := float64(t.slots)
	perRequest := t.requestMs(unevenness)
	if gap <= 0 || perRequest <= 0 {
		return slots
	}
	n := (gapShare*milliseconds(gap) - t.fixedMs()) / perRequest
	return min(max(n, 1), slots)
}

// life returns how long a stream runs.
func (t *engineTerms) life(step time.Duration) time.Duration {
	return max(time.Duration(t.events*float64(step)), time.Millisecond)
}

// milliseconds returns d as a number of milliseconds.
func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
