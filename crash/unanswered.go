package crash

import "time"

const (
	// maxUnansweredTerminations bounds the terminations whose unanswered requests are counted,
	// maxUnanswered the requests counted at each.
	maxUnansweredTerminations = 256
	maxUnanswered             = 64
)

// unanswered counts the requests that an instance had not answered when it terminated. Unlike the
// records of these requests, the counts are not displaced by those of later terminations.
type unanswered struct {
	observed time.Time
	requests map[Digest]bool
}

// countUnanswered counts a request at a termination observed at the given time.
func (g *Registry) countUnanswered(e Termination, observed time.Time) {
	u := g.unanswered[e.Key()]
	if u == nil {
		if len(g.unanswered) >= maxUnansweredTerminations {
			g.evictUnanswered()
		}
		u = &unanswered{
			observed: observed,
			requests: make(map[Digest]bool),
		}
		g.unanswered[e.Key()] = u
	}
	if len(u.requests) < maxUnanswered {
		u.requests[e.Digest] = true
	}
}

// evictUnanswered drops the counts of the termination that was observed first.
func (g *Registry) evictUnanswered() {
	var oldest TerminationKey
	var at time.Time
	for key, u := range g.unanswered {
		if at.IsZero() || u.observed.Before(at) {
			oldest, at = key, u.observed
		}
	}
	delete(g.unanswered, oldest)
}

// unansweredAt returns the number of requests that may have caused a termination, at least one.
func (g *Registry) unansweredAt(key TerminationKey) int {
	if u := g.unanswered[key]; u != nil {
		return max(1, len(u.requests))
	}
	return 1
}

func (g *Registry) sweepUnanswered(now time.Time) {
	for key, u := range g.unanswered {
		if now.Sub(u.observed) >= Retention {
			delete(g.unanswered, key)
		}
	}
}
