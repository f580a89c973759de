package retry

import "sync"

const (
	// share is how many repeats each first try earns.
	share = 0.2
	// reserve is what a class may spend before it has earned anything.
	reserve = 20
)

// Budget allows repeats in proportion to first tries, for each class by itself.
type Budget struct {
	mu      sync.Mutex
	classes map[string]float64
}

// NewBudget returns a budget in which each class has its reserve.
func NewBudget() *Budget {
	return &Budget{classes: make(map[string]float64)}
}

// Earn notes a first try.
func (b *Budget) Earn(class string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.classes[class] = min(b.left(class)+share, reserve)
}

// Spend takes one repeat and returns false when the class has none left.
func (b *Budget) Spend(class string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	left := b.left(class)
	if left < 1 {
		return false
	}
	b.classes[class] = left - 1
	return true
}

func (b *Budget) left(class string) float64 {
	left, ok := b.classes[class]
	if !ok {
		return reserve
	}
	return left
}
