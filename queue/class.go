package queue

import "time"

// classQueue holds the items of one class by account and shares the class fairly among accounts.
type classQueue struct {
	name        string
	accounts    map[string]*accountQueue
	n           int
	cost        float64
	virtualTime float64
	// latencyTarget is the latency target of the class.
	latencyTarget time.Duration
	rate          rate
}

// accountQueue holds the items of one account; served is its virtual time in cost units.
type accountQueue struct {
	name   string
	items  []Item
	cost   float64
	served float64
}

func newClassQueue(name string) *classQueue {
	return &classQueue{
		name:     name,
		accounts: make(map[string]*accountQueue),
	}
}

func (c *classQueue) push(it Item) {
	a, ok := c.accounts[it.Account]
	if !ok {
		a = &accountQueue{
			name:   it.Account,
			served: c.virtualTime,
		}
		c.accounts[it.Account] = a
	}
	a.served = max(a.served, c.virtualTime)
	a.items = append(a.items, it)
	a.cost += it.Cost
	c.n++
	c.cost += it.Cost
}

// pop removes the oldest item of the account with the least virtual time, so that accounts share
// the class evenly.
func (c *classQueue) pop() Item {
	var best *accountQueue
	for _, a := range c.accounts {
		if best == nil || a.served < best.served || a.served == best.served && a.name < best.name {
			best = a
		}
	}
	c.virtualTime = best.served
	it := best.items[0]
	best.items = best.items[1:]
	best.served += it.Cost
	c.noteRemoved(best, it)
	return it
}

// shed removes the newest item of the account with the highest queued cost, which may be the
// arriving item itself. An account other than the arriving item's is picked over it only if its
// cost is higher by more than the cost of the item.
func (c *classQueue) shed(arrived Item) (Item, bool) {
	worst := c.accounts[arrived.Account]
	for _, a := range c.accounts {
		if a.cost > worst.cost+arrived.Cost || a.cost > worst.cost && worst.name != arrived.Account {
			worst = a
		}
	}
	if worst == nil || len(worst.items) == 0 {
		return Item{}, false
	}
	last := len(worst.items) - 1
	it := worst.items[last]
	worst.items = worst.items[:last]
	c.noteRemoved(worst, it)
	return it, true
}

func (c *classQueue) removeWhere(match func(Item) bool) []Item {
	var out []Item
	for _, a := range c.accounts {
		kept := a.items[:0:0]
		var gone []Item
		for _, it := range a.items {
			if match(it) {
				gone = append(gone, it)
			} else {
				kept = append(kept, it)
			}
		}
		a.items = kept
		for _, it := range gone {
			c.noteRemoved(a, it)
		}
		out = append(out, gone...)
	}
	return out
}

func (c *classQueue) noteRemoved(a *accountQueue, it Item) {
	a.cost -= it.Cost
	c.cost -= it.Cost
	c.n--
	if len(a.items) == 0 {
		delete(c.accounts, a.name)
	}
	if c.n == 0 {
		c.cost = 0
	}
}
