package queue

import (
	"math"
	"sort"
	"time"
)

// Queue holds waiting attempts by class and account; it is not safe for use by several goroutines.
type Queue struct {
	classes map[string]*classQueue
	n       int
	cost    float64
	seq     uint64
}

// New returns an empty queue.
func New() *Queue {
	return &Queue{classes: make(map[string]*classQueue)}
}

// Headroom is the share of the time to its due moment in which an item must be predicted to start. The rest keeps the looser
// classes ahead of their due moments, so that in overload they don't come before the tighter ones.
const Headroom = 0.75

// Push admits an item, or sheds load when the capacity doesn't let it start in time.
// It returns the items shed, which never ran: the newest of the account that holds most of the class, or the new item.
func (q *Queue) Push(now time.Time, it Item, capacity Capacity) []Item {
	q.seq++
	it.seq = q.seq
	c := q.class(it.Class)
	c.within = it.Within
	c.push(it)
	q.n++
	q.cost += it.Cost
	left := time.Duration(float64(it.Due.Sub(now)) * Headroom)
	if capacity.Drain <= 0 || q.wait(now, it, capacity) <= left {
		return nil
	}
	victim, ok := c.shed(it)
	if !ok {
		return nil
	}
	q.n--
	q.cost -= victim.Cost
	return []Item{victim}
}

// wait predicts how long it is until an item starts: its class and the tighter ones go first, also with what comes of those meanwhile.
func (q *Queue) wait(now time.Time, it Item, capacity Capacity) time.Duration {
	left := capacity.Drain
	for _, c := range q.classes {
		if c.name != it.Class && c.within < it.Within {
			left -= c.rate.at(now)
		}
	}
	left = max(left, capacity.Drain*leastShare)
	ahead := max(q.Ahead(it.Within)-it.Cost, 0)
	return capacity.Slot() + time.Duration(ahead/left*float64(time.Second))
}

// leastShare keeps the prediction finite while tighter classes take all.
const leastShare = 0.05

// Ahead returns the queued cost of the classes whose targets allow no more than within.
func (q *Queue) Ahead(within time.Duration) float64 {
	sum := 0.0
	for _, c := range q.classes {
		if c.within <= within {
			sum += c.cost
		}
	}
	return sum
}

// Pop takes the next item to run: of the class with the tightest target, the account served least.
// In overload the order of due moments would let late items of loose classes go before tight ones, and miss both.
// Some of the limit is kept free of loose classes, for what tighter ones are used to need: a long attempt would hold it up.
func (q *Queue) Pop(now time.Time, capacity Capacity) (Item, bool) {
	var best *classQueue
	for _, c := range q.classes {
		if c.n > 0 && (best == nil || c.within < best.within || c.within == best.within && c.name < best.name) {
			best = c
		}
	}
	if best == nil || capacity.Running+q.reserve(now, best, capacity) >= capacity.Limit {
		return Item{}, false
	}
	it := best.pop()
	best.rate.add(now, it.Cost)
	q.removed(it)
	return it, true
}

// reserveFactor is how many times their mean need the tighter classes are kept room for, and reserveMost bounds it as a part of the limit.
const (
	reserveFactor = 2
	reserveMost   = 0.5
)

// reserve is the part of the limit that a class must leave to the tighter ones.
func (q *Queue) reserve(now time.Time, c *classQueue, capacity Capacity) int {
	if capacity.Drain <= 0 {
		return 0
	}
	unit := float64(capacity.Limit) / capacity.Drain
	need := 0.0
	for _, other := range q.classes {
		if other.within < c.within {
			need += other.rate.at(now) * unit
		}
	}
	if need < leastNeed {
		return 0
	}
	return int(math.Ceil(min(need*reserveFactor, float64(capacity.Limit)*reserveMost)))
}

// leastNeed is the mean number of slots below which nothing is kept free.
const leastNeed = 0.05

// Expire removes and returns the items whose caller's deadline has passed.
func (q *Queue) Expire(now time.Time) []Item {
	return q.take(func(it Item) bool { return !it.Expires.After(now) })
}

// Remove takes out one item by its ID.
func (q *Queue) Remove(id uint64) bool {
	return len(q.take(func(it Item) bool { return it.ID == id })) > 0
}

// Drain removes and returns everything.
func (q *Queue) Drain() []Item {
	return q.take(func(Item) bool { return true })
}

// Len returns the number of waiting items.
func (q *Queue) Len() int {
	return q.n
}

// Cost returns the cost of all waiting items.
func (q *Queue) Cost() float64 {
	return q.cost
}

// Load returns the waiting cost and count by class, sorted by name.
func (q *Queue) Load() []ClassLoad {
	loads := make([]ClassLoad, 0, len(q.classes))
	for _, c := range q.classes {
		if c.n > 0 {
			loads = append(loads, ClassLoad{
				Class: c.name,
				Cost:  c.cost,
				N:     c.n,
			})
		}
	}
	sort.Slice(loads, func(i, j int) bool { return loads[i].Class < loads[j].Class })
	return loads
}

func (q *Queue) class(name string) *classQueue {
	c, ok := q.classes[name]
	if !ok {
		c = newClassQueue(name)
		q.classes[name] = c
	}
	return c
}

func (q *Queue) take(match func(Item) bool) []Item {
	var out []Item
	for _, c := range q.classes {
		out = append(out, c.take(match)...)
	}
	for _, it := range out {
		q.removed(it)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].seq < out[j].seq })
	return out
}

func (q *Queue) removed(it Item) {
	q.n--
	q.cost -= it.Cost
	if q.n == 0 {
		q.cost = 0
	}
}
