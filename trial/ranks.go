package trial

import (
	"math"
	"math/rand/v2"
	"time"
)

// The engines of a group as the users' deployments describe them, the step's times by token: a pass makes one event of every stream that runs.
const (
	groupRanks   = 16
	groupSlots   = 12
	groupQueue   = 24
	eventTokens  = 5
	stepTime     = 5850 * time.Microsecond
	slotTime     = 355 * time.Microsecond
	tokensPerMS  = 61.2
	meanPrompt   = 835.0
	meanEvents   = 27.8
	mostEvents   = 70
	eventsSpread = 0.7
	// promptSpread is less than that of the users' prompts, of which engines read long ones in pieces over several passes.
	promptSpread = 0.4
	// imbalance is what the most loaded rank adds to the part of a step that its requests take, in calm: 0.85 of 0.4 above the mean.
	imbalance = 1.34
	// idlePass is how often an idle group looks for work.
	idlePass = 5 * time.Millisecond
)

// Span is a time between two moments of a trial.
type Span struct {
	From time.Duration
	To   time.Duration
}

func within(spans []Span, at time.Duration) bool {
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
	// begun, event and over are told to the entry; gone is true once the caller has left.
	begun func(full bool)
	event func()
	over  func(whole bool)
	gone  bool
	sent  int
}

// ranks is a group that makes every pass together.
type ranks struct {
	*clock
	dark    []Span
	still   []Span
	running [groupRanks][]*stream
	waiting [groupRanks][]*stream
	fresh   [groupRanks][]*stream
}

// send gives a stream to a rank and returns false when it is refused.
func (g *ranks) send(rank int, s *stream) bool {
	if within(g.dark, g.now) || len(g.waiting[rank]) >= groupQueue {
		return false
	}
	g.waiting[rank] = append(g.waiting[rank], s)
	return true
}

// load returns how many run and wait at a rank.
func (g *ranks) load(rank int) (running, waiting int) {
	return len(g.running[rank]) + len(g.fresh[rank]), len(g.waiting[rank])
}

// pass begins a pass and comes back at its end.
func (g *ranks) pass() {
	if within(g.dark, g.now) {
		g.cutAll()
	}
	if within(g.dark, g.now) || within(g.still, g.now) {
		g.after(idlePass, g.pass)
		return
	}
	most, reading := 0, 0
	for r := range groupRanks {
		g.fill(r)
		tokens := 0
		for _, s := range g.fresh[r] {
			tokens += s.prompt
		}
		most = max(most, len(g.running[r])+len(g.fresh[r]))
		reading = max(reading, tokens)
	}
	if most == 0 {
		g.after(idlePass, g.pass)
		return
	}
	step := float64(stepTime) + float64(slotTime)*float64(most)*imbalance
	took := time.Duration(eventTokens*step) + time.Duration(float64(reading)/tokensPerMS*float64(time.Millisecond))
	g.after(took, g.end)
}

// fill takes waiting streams into free slots.
func (g *ranks) fill(r int) {
	for len(g.waiting[r]) > 0 && len(g.running[r])+len(g.fresh[r]) < groupSlots {
		s := g.waiting[r][0]
		g.waiting[r] = g.waiting[r][1:]
		if !s.gone {
			g.fresh[r] = append(g.fresh[r], s)
		}
	}
}

// end tells what a pass has made.
func (g *ranks) end() {
	for r := range groupRanks {
		for _, s := range g.fresh[r] {
			if !s.gone {
				running, waiting := g.load(r)
				s.begun(running >= groupSlots && waiting > 0)
			}
		}
		all := append(g.running[r], g.fresh[r]...)
		g.running[r], g.fresh[r] = nil, nil
		for _, s := range all {
			if s.gone {
				continue
			}
			s.event()
			if s.sent++; s.sent >= s.events {
				s.over(true)
				continue
			}
			g.running[r] = append(g.running[r], s)
		}
	}
	g.pass()
}

// cutAll ends what a group had that broke.
func (g *ranks) cutAll() {
	for r := range groupRanks {
		all := append(append(g.running[r], g.fresh[r]...), g.waiting[r]...)
		g.running[r], g.fresh[r], g.waiting[r] = nil, nil, nil
		for _, s := range all {
			if !s.gone {
				s.over(false)
			}
		}
	}
}

// drawn returns a stream whose sizes are spread as the users' are.
func drawn(random *rand.Rand) *stream {
	return &stream{
		prompt: int(lognormal(random, meanPrompt, promptSpread)) + 1,
		events: int(min(lognormal(random, meanEvents, eventsSpread), mostEvents)) + 1,
	}
}

// lognormal draws a number with a mean and a spread of its logarithm.
func lognormal(random *rand.Rand, mean, spread float64) float64 {
	return mean * math.Exp(spread*random.NormFloat64()-spread*spread/2)
}
