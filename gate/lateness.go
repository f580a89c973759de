package gate

import (
	"sync"
	"time"

	"geraniumpass/admit"
	"geraniumpass/plan"
)

// budgetRetention is how long the largest budget seen on a route is kept.
const budgetRetention = 30 * time.Second

// callerBudgets tracks the largest time budget seen recently on each route, which is assumed to be
// the budget of a first try. A caller with a smaller budget has spent the difference on earlier
// tries, because callers keep their deadline when they retry.
type callerBudgets struct {
	mu      sync.Mutex
	byRoute map[string]*maxBudget
}

type maxBudget struct {
	budget time.Duration
	at     time.Time
}

func newCallerBudgets() *callerBudgets {
	return &callerBudgets{byRoute: make(map[string]*maxBudget)}
}

// spent returns how much of its time a caller with the given budget has already used, zero if it
// gives no budget. Budgets are capped at the route's timeout, so that a caller with a larger one
// doesn't make others look late.
func (b *callerBudgets) spent(route *plan.Route, budget time.Duration, now time.Time) time.Duration {
	if budget <= 0 {
		return 0
	}
	if route.Timeout > 0 {
		budget = min(budget, route.Timeout)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	largest := b.byRoute[route.Name]
	if largest == nil {
		largest = &maxBudget{}
		b.byRoute[route.Name] = largest
	}
	if budget >= largest.budget || now.Sub(largest.at) > budgetRetention {
		largest.budget, largest.at = budget, now
	}
	return largest.budget - budget
}

// currentUrgency returns the priority of the request at the engine. One that was late when it was
// admitted keeps the place among the late ones that it was given.
func (r *request) currentUrgency() int {
	switch {
	case r.isLate() && !admit.IsLateUrgency(r.urgency):
		return admit.LateUrgency
	case r.urgency > 0:
		return r.urgency
	}
	return admit.DefaultUrgency
}

// isLate reports whether the answer can't begin within the target latency any more, because the
// caller was rejected or cut off before.
func (r *request) isLate() bool {
	return r.stream.lastEvent >= 0 || r.route.Aim > 0 && r.spentBefore+r.g.elapsed(r.receivedAt) > r.route.Aim
}
