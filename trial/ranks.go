package trial

import (
	"math"
	"math/rand/v2"
	"time"
)

// Engine parameters of a group, as in the users' deployments. Step times are per token; a pass
// produces one event of eventTokens tokens for each running stream.
const (
	groupRanks   = 16
	groupSlots   = 12
	groupQueue   = 24
	eventTokens  = 5
	baseStepTime = 5850 * time.Microsecond
	slotTime     = 355 * time.Microsecond
	tokensPerMS  = 61.2
	meanPrompt   = 835.0
	meanEvents   = 27.8
	maxEvents    = 70
	eventsSpread = 0.7
	// promptSpread is smaller than the spread of the users' prompts, because engines process long
	// prompts in chunks over several passes.
	promptSpread = 0.4
	// imbalance is the factor by which the most loaded rank lengthens the request-dependent part of
	// a step at normal load: 1 + 0.85 * 0.4, where 0.4 is its load above the mean.
	imbalance = 1.34
	// idlePollInterval is how often an idle group checks for work.
	idlePollInterval = 5 * time.Millisecond
)

// Span is a half-open interval of trial time.
type Span struct {
	From time.Duration
	To   time.Duration
}

func inAnySpan(spans []Span, at time.Duration) bool {
	for _, s := range spans {
		if at >= s.From && at < s.To {
			return true
		}
	}
	return false
}

// stream is one request at a rank.
type stream struct {
	prompt int
	events int
	// onStart, onEvent and onEnd notify the entry; closed is set once the request has ended or its
	// caller has disconnected.
	onStart func(full bool)
	onEvent func()
	onEnd   func(completed bool)
	closed  bool
	emitted int
}

// rankGroup is a group whose ranks execute every pass in lockstep.
type rankGroup struct {
	*clock
	outages    []Span
	stalls     []Span
	running    [groupRanks][]*stream
	waiting    [groupRanks][]*stream
	prefilling [groupRanks][]*stream
}

// send queues a stream at a rank and reports whether it was accepted.
func (g *rankGroup) send(rank int, s *stream) bool {
	if inAnySpan(g.outages, g.now) || len(g.waiting[rank]) >= groupQueue {
		return false
	}
	g.waiting[rank] = append(g.waiting[rank], s)
	return true
}

// load returns the number of running and waiting streams of a rank.
func (g *rankGroup) load(rank int) (running, waiting int) {
	return len(g.running[rank]) + len(g.prefilling[rank]), len(g.waiting[rank])
}

// beginPass starts a pass and schedules its end.
func (g *rankGroup) beginPass() {
	if inAnySpan(g.outages, g.now) {
		g.abortAll()
	}
	if inAnySpan(g.outages, g.now) || inAnySpan(g.stalls, g.now) {
		g.after(idlePollInterval, g.beginPass)
		return
	}
	maxRunning, maxPromptTokens := 0, 0
	for r := range groupRanks {
		g.fillSlots(r)
		tokens := 0
		for _, s := range g.prefilling[r] {
			tokens += s.prompt
		}
		maxRunning = max(maxRunning, len(g.running[r])+len(g.prefilling[r]))
		maxPromptTokens = max(maxPromptTokens, tokens)
	}
	if maxRunning == 0 {
		g.after(idlePollInterval, g.beginPass)
		return
	}
	step := float64(baseStepTime) + float64(slotTime)*float64(maxRunning)*imbalance
	passTime := time.Duration(eventTokens*step) + time.Duration(float64(maxPromptTokens)/tokensPerMS*float64(time.Millisecond))
	g.after(passTime, g.endPass)
}

// fillSlots moves waiting streams into free slots.
func (g *rankGroup) fillSlots(r int) {
	for len(g.waiting[r]) > 0 && len(g.running[r])+len(g.prefilling[r]) < groupSlots {
		s := g.waiting[r][0]
		g.waiting[r] = g.waiting[r][1:]
		if !s.closed {
			g.prefilling[r] = append(g.prefilling[r], s)
		}
	}
}

// endPass delivers the events of a pass and begins the next one.
func (g *rankGroup) endPass() {
	for r := range groupRanks {
		for _, s := range g.prefilling[r] {
			if !s.closed {
				running, waiting := g.load(r)
				s.onStart(running >= groupSlots && waiting > 0)
			}
		}
		all := append(g.running[r], g.prefilling[r]...)
		g.running[r], g.prefilling[r] = nil, nil
		for _, s := range all {
			if s.closed {
				continue
			}
			s.onEvent()
			if s.emitted++; s.emitted >= s.events {
				s.onEnd(true)
				continue
			}
			g.running[r] = append(g.running[r], s)
		}
	}
	g.beginPass()
}

// abortAll ends all streams of a failed group.
func (g *rankGroup) abortAll() {
	for r := range groupRanks {
		all := append(append(g.running[r], g.prefilling[r]...), g.waiting[r]...)
		g.running[r], g.prefilling[r], g.waiting[r] = nil, nil, nil
		for _, s := range all {
			if !s.closed {
				s.onEnd(false)
			}
		}
	}
}

// newStream returns a stream with random sizes, distributed as the users' requests are.
func newStream(random *rand.Rand) *stream {
	return &stream{
		prompt: int(lognormal(random, meanPrompt, promptSpread)) + 1,
		events: int(min(lognormal(random, meanEvents, eventsSpread), maxEvents)) + 1,
	}
}

// lognormal returns a log-normal sample with the given mean and standard deviation of the
// logarithm.
func lognormal(random *rand.Rand, mean, spread float64) float64 {
	return mean * math.Exp(spread*random.NormFloat64()-spread*spread/2)
}
