package gate

import (
	"expvar"
	"sync"
	"time"

	"geraniumpass/loads"
	"geraniumpass/outage"
)

const (
	// maxWaiting is the number of requests that wait at an entry for a group to open. Each holds its
	// caller's connection; the others are refused at once.
	maxWaiting = 64
	// openingCheckInterval is the interval at which a waiting request looks whether a group is open.
	openingCheckInterval = 40 * time.Millisecond
)

// outageAnswers counts what became of requests while all groups of their service were closed.
var outageAnswers = expvar.NewMap("outage_answers")

// openings holds the requests that wait or come back for the opening of a group, by service. It is safe for
// concurrent use.
type openings struct {
	mu        sync.Mutex
	byService map[string]*outage.Returns
	waiting   int
}

func newOpenings() *openings {
	return &openings{byService: make(map[string]*outage.Returns)}
}

func (o *openings) of(service string) *outage.Returns {
	o.mu.Lock()
	defer o.mu.Unlock()
	returns := o.byService[service]
	if returns == nil {
		returns = &outage.Returns{}
		o.byService[service] = returns
	}
	return returns
}

// beginWait reports whether another request may wait, which endWait ends.
func (o *openings) beginWait() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.waiting >= maxWaiting {
		return false
	}
	o.waiting++
	return true
}

func (o *openings) endWait() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.waiting--
}

// opening is what is known of the groups of a service at one moment.
type opening struct {
	// isOpen is set if a group accepts requests, or if nothing recent is known of any.
	isOpen bool
	// next is the earliest expected opening; one that is certain goes before.
	next outage.Estimate
	// ranks is the number of instances of the groups that form.
	ranks int
}

// openingOf returns what the statuses of all groups say.
func openingOf(groups map[string]loads.Status) opening {
	out := opening{isOpen: len(groups) == 0}
	for name := range groups {
		s := groups[name]
		e := s.Opening.After(s.Age)
		out.isOpen = out.isOpen || s.Open
		if e.Basis >= outage.BasisBack {
			out.ranks += len(s.Ranks)
		}
		if e.Basis > out.next.Basis || e.Basis == out.next.Basis && e.OpensIn < out.next.OpensIn {
			out.next = e
		}
	}
	return out
}

// outageAnswer returns what becomes of the request while all groups are closed.
func (r *request) outageAnswer() outage.Answer {
	now := r.g.clock.Now()
	o := openingOf(r.g.groupsOf(r.service.Name))
	if o.isOpen || o.next.Basis == outage.BasisUnknown || !r.isAllClosed(now) {
		return outage.Answer{}
	}
	if !r.hasTurn {
		r.turn, r.hasTurn = r.drawTurn(now, &o), true
	}
	return outage.Decide(o.next, r.turn, r.outageCaller(now))
}

// isAllClosed reports whether no instance may take requests now, since some groups may not be known.
func (r *request) isAllClosed(now time.Time) bool {
	return areAllClosed(r.g.conditions(startsOf(r.g.view.Now().Usable(r.service.Name)), r.route, now))
}

// drawTurn draws how long after the opening of the groups the request has its turn.
func (r *request) drawTurn(now time.Time, o *opening) time.Duration {
	room := outage.Room{Ranks: o.ranks}
	if e := r.service.Engine; e != nil {
		ms := float64(max(e.StepTokens, 1)) * (e.StepMs + e.SequenceMs*float64(e.Slots))
		room.Step = time.Duration(ms * float64(time.Millisecond))
	}
	spread := r.g.openings.of(r.service.Name).Add(now, o.next, room, entryCount(r.snap))
	return time.Duration(r.g.randomFloat() * float64(spread))
}

func (r *request) outageCaller(now time.Time) outage.Caller {
	c := outage.Caller{
		Remaining:   r.deadline.Sub(now),
		Aim:         r.route.Aim,
		HasReturned: r.spentBefore >= minSpent,
	}
	if !r.firstEventDeadline.IsZero() && !r.stream.started {
		c.FirstEvent = r.firstEventDeadline.Sub(now)
	}
	return c
}

// returnAfterOutage returns when the caller should come back if all groups are closed, zero if that is not
// known.
func (r *request) returnAfterOutage() time.Duration {
	if r.outage.RetryAfter == 0 || r.outage.Wait > 0 {
		r.outage = r.outageAnswer()
	}
	switch {
	case r.outage.Hopeless:
		outageAnswers.Add("hopeless", 1)
	case r.outage.RetryAfter > 0:
		outageAnswers.Add("return", 1)
	}
	return r.outage.RetryAfter
}

// awaitOpening waits for the opening of a group if the request found all closed and its caller would be
// lost otherwise. It reports whether a group has opened.
func (r *request) awaitOpening() bool {
	if !r.closed || r.outage.Wait > 0 {
		return false
	}
	r.outage = r.outageAnswer()
	if r.outage.Wait == 0 || !r.g.openings.beginWait() {
		return false
	}
	defer r.g.openings.endWait()
	if !r.waitUntilOpen(r.g.clock.Now().Add(r.outage.Wait)) {
		outageAnswers.Add("wait_ended", 1)
		return false
	}
	outageAnswers.Add("wait_served", 1)
	r.closed, r.reason = false, ""
	return true
}

// waitUntilOpen waits until a group is open and the turn of the request has come. It reports false once
// that is not expected before until any more, or if the caller is gone.
func (r *request) waitUntilOpen(until time.Time) bool {
	for r.ctx.Err() == nil {
		o := openingOf(r.g.groupsOf(r.service.Name))
		now := r.g.clock.Now()
		left := until.Sub(now)
		switch {
		case o.isOpen:
			r.sleep(min(r.turn, left))
			return r.ctx.Err() == nil
		case o.next.Basis < outage.BasisBack || o.next.OpensIn >= left:
			return false
		}
		r.sleep(min(openingCheckInterval, left))
	}
	return false
}

// sleep waits until d has elapsed or the caller is gone.
func (r *request) sleep(d time.Duration) {
	timer := r.g.clock.NewTimer(max(d, 0))
	defer timer.Stop()
	select {
	case <-r.ctx.Done():
	case <-timer.Chan():
	}
}
