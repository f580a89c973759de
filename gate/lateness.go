package gate

import (
	"sync"
	"time"

	"geraniumpass/plan"
)

// budgetMemory is how long the longest time that callers of a route have brought is remembered.
const budgetMemory = 30 * time.Second

// budgets learns how much time callers of a route bring when they ask for the first time: the most that any has brought lately. One that brings
// less has spent the difference before, since callers that come back keep their deadline.
type budgets struct {
	mu sync.Mutex
	by map[string]*longest
}

type longest struct {
	budget time.Duration
	at     time.Time
}

func newBudgets() *budgets {
	return &budgets{by: make(map[string]*longest)}
}

// spent returns how much of its time a caller with a budget has spent before it asked here, zero where it names none. No caller makes others late
// by bringing more than its route allows.
func (b *budgets) spent(route *plan.Route, budget time.Duration, now time.Time) time.Duration {
	if budget <= 0 {
		return 0
	}
	if route.Timeout > 0 {
		budget = min(budget, route.Timeout)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.by[route.Name]
	if l == nil {
		l = &longest{}
		b.by[route.Name] = l
	}
	if budget >= l.budget || now.Sub(l.at) > budgetMemory {
		l.budget, l.at = budget, now
	}
	return l.budget - budget
}

// isLate returns true for a request whose answer can't begin within its aim any more: its caller has been refused or cut off before.
func (r *request) isLate() bool {
	return r.stream.last >= 0 || r.route.Aim > 0 && r.spent+r.g.since(r.came) > r.route.Aim
}
