package gate

import (
	"sync"
	"time"
)

const (
	// returnedPart is the part of the usual time from which less shows that its caller has been here before: callers' own times spread by some
	// 15%, and one who was refused returns with a third of its time gone.
	returnedPart = 0.78
	// budgetGain is the weight of one caller's time in the usual one, and budgetJump how many times that is a new usual time.
	budgetGain = 0.05
	budgetJump = 1.5
)

// budgets remembers how long callers of each route usually wait.
type budgets struct {
	mu sync.Mutex
	by map[string]time.Duration
}

// age takes the time that a caller still gives and returns how much of its time is gone, zero for one that comes for the first time.
func (b *budgets) age(route string, budget time.Duration) time.Duration {
	if budget <= 0 {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	usual := b.by[route]
	if budget > time.Duration(budgetJump*float64(usual)) {
		b.by[route] = budget
		return 0
	}
	if budget < time.Duration(returnedPart*float64(usual)) {
		return usual - budget
	}
	b.by[route] = usual + time.Duration(budgetGain*float64(budget-usual))
	return 0
}
