package admit

import (
	"sync"
	"time"

	"geraniumpass/plan"
)

const (
	// backlogTime is the period whose refused requests are expected back together.
	backlogTime = time.Second
	// maxRetryAfter bounds the time after which a refused caller is asked to come back.
	maxRetryAfter = 5 * time.Second
)

// Shedder refuses the requests that the groups of a service have no room for. All entries act on the
// same statuses of the groups and admit the same share of their requests, so that no room has to be
// divided between them. It is safe for concurrent use.
type Shedder struct {
	random func() float64
	// ranked is set if requests are refused only for the sake of others.
	ranked bool

	mu     sync.Mutex
	room   room
	turns  turns
	shares *shares
	work   work
	aim    time.Duration
}

// New returns a shedder without knowledge of its service; random returns numbers in [0, 1).
func New(random func() float64) *Shedder {
	return &Shedder{
		random: random,
		room: room{
			loads:       make(map[string]*load),
			share:       1,
			inflowShare: 1,
		},
		shares: newShares(),
		work: work{
			byClass: make(map[string]*answers),
		},
	}
}

// NewRanked returns a Shedder that refuses requests only for the sake of others that go before: those of
// lower ranks, and what accounts ask for beyond their fair share, while the groups are crowded. An answer
// that pauses a little too long is worth more to its caller than none.
func NewRanked(random func() float64) *Shedder {
	s := New(random)
	s.ranked = true
	return s
}

// Observe records statuses of all groups. It is called with each new status of any group, since the
// unevenness and the demand are learned from successive ones; requests alone are too few for that.
func (s *Shedder) Observe(now time.Time, engine *plan.Engine, groups []Group) {
	if !usableEngine(engine) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observe(now, s.terms(engine), groups)
}

func (s *Shedder) observe(now time.Time, terms engineTerms, groups []Group) {
	if !s.room.observe(now, terms, groups) {
		return
	}
	space := s.room.space(terms, groups, s.aim, s.turns.gap(now, maxRank, 0), false)
	if space.known {
		s.room.learn(now, space)
	}
}

// Finished records the length of a complete answer, with the hint of its request or zero.
func (s *Shedder) Finished(_ time.Time, class string, lengthHint, answerTokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.work.finished(class, lengthHint, answerTokens)
}

// Decide admits or refuses a request. The groups are all those with a recent status; if none of them
// is usable, it admits all requests and leaves them to the caller.
func (s *Shedder) Decide(now time.Time, engine *plan.Engine, groups []Group, d Demand) Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	rank := d.rank()
	if !usableEngine(engine) {
		s.turns.add(now, rank, turnTimely, d.Gap)
		return s.admit(now, d, ReasonUnknown)
	}
	terms := s.terms(engine)
	s.shares.add(now, d.Account, s.work.cost(engine, &d))
	s.observe(now, terms, groups)
	f := s.fit(now, terms, groups, &d)
	turn := s.turn(now, engine, f.space, f.share, &d)
	s.turns.add(now, rank, turn, d.Gap)
	s.aim = d.Aim
	switch {
	case !f.space.known:
		return s.admit(now, d, ReasonUnknown)
	case f.share >= 1, s.ranked && !f.yields && turn != turnExcess:
		return s.admit(now, d, ReasonRoom)
	case s.random() < max(s.turns.admitted(f.share, rank, turn), f.least):
		return s.admit(now, d, ReasonTurn)
	}
	return Decision{
		Reason:     ReasonFull,
		RetryAfter: s.retryAfter(f.space, f.share, d.Remaining),
		Urgency:    s.turns.urgency(now, rank, d.late()),
	}
}

// fit is how much of a kind of requests the groups have room for.
type fit struct {
	space space
	// share is the share of requests to be admitted, least the probability that this kind has at least.
	share float64
	least float64
	// yields is set if others go before.
	yields bool
}

func (s *Shedder) fit(now time.Time, terms engineTerms, groups []Group, d *Demand) fit {
	rank := d.rank()
	gap := s.turns.gap(now, rank, d.Gap)
	highest, _ := s.turns.ranksInUse(now)
	if rank <= highest {
		space := s.room.space(terms, groups, d.Aim, gap, false)
		return fit{
			space: space,
			share: s.share(now, space),
		}
	}
	first := 1.0
	if !s.ranked {
		first = s.share(now, s.room.space(terms, groups, d.Aim, gap, false))
	}
	space := s.room.space(terms, groups, d.Aim, gap, true)
	return fit{
		space:  space,
		share:  min(first, s.share(now, space)),
		least:  starvationShare * first,
		yields: true,
	}
}

// share returns the share of requests to be admitted.
func (s *Shedder) share(now time.Time, space space) float64 {
	switch {
	case !space.known:
		return 1
	case s.ranked:
		return s.room.admittedIfCrowded(now, space)
	}
	return s.room.admitted(space)
}

func (s *Shedder) admit(now time.Time, d Demand, reason string) Decision {
	return Decision{
		Admit:   true,
		Reason:  reason,
		Urgency: s.turns.urgency(now, d.rank(), d.late()),
	}
}

// terms returns the terms of the engine for answers of the length seen so far.
func (s *Shedder) terms(e *plan.Engine) engineTerms {
	return newEngineTerms(e, s.work.all.usual(e.Answer))
}

// turn returns the turn of a request within its rank. Requests beyond the fair share of their account
// are drawn from all of its requests.
func (s *Shedder) turn(now time.Time, e *plan.Engine, space space, share float64, d *Demand) turnOf {
	fair := s.shares.fairShare(now, d.Account, share, e.Answer)
	switch {
	case fair < 1 && s.random() >= fair:
		return turnExcess
	case d.Returned && d.Remaining > space.life:
		return turnReturned
	case d.late() || d.Returned:
		return turnLate
	}
	return turnTimely
}

// retryAfter returns when room is expected, at the rate at which requests finish: the excess has to
// finish first, and those refused recently come back spread over the time in which as many finish.
// It is zero if the caller's remaining time can't hold even the next step.
func (s *Shedder) retryAfter(space space, share float64, remaining time.Duration) time.Duration {
	outflow := max(space.outflow, 1)
	excess := max(space.requests-space.limit, 0) / outflow
	refused := s.room.demand() * (1 - share) * backlogTime.Seconds() / outflow
	after := space.step + time.Duration((excess+refused*s.random())*float64(time.Second))
	after = min(after, maxRetryAfter)
	if last := remaining - queueSteps*space.step; after > last {
		after = max(last, 0)
	}
	return after
}
