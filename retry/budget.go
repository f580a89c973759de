package retry

import "sync"

const (
	// retriesPerRequest is the number of retries that each first try earns.
	retriesPerRequest = 0.2
	// initialRetries is the number of retries of a class that has earned none yet, and the maximum
	// it can accumulate.
	initialRetries = 20
)

// Budget is a retry budget: it allows retries in proportion to first tries, separately for each
// class.
type Budget struct {
	mu     sync.Mutex
	tokens map[string]float64
}

// NewBudget returns a budget in which each class has its initial retries.
func NewBudget() *Budget {
	return &Budget{tokens: make(map[string]float64)}
}

// Earn records a first try.
func (b *Budget) Earn(class string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens[class] = min(b.remaining(class)+retriesPerRequest, initialRetries)
}

// Spend takes one retry and reports whether the class had one left.
func (b *Budget) Spend(class string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	left := b.remaining(class)
	if left < 1 {
		return false
	}
	b.tokens[class] = left - 1
	return true
}

func (b *Budget) remaining(class string) float64 {
	left, ok := b.tokens[class]
	if !ok {
		return initialRetries
	}
	return left
}
