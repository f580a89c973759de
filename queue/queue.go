package queue

import (
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
	c.within = it.Due.Sub(now)
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

// wait predicts how long it is until an item starts: all that is due earlier goes first, and what comes meanwhile of tighter classes.
func (q *Queue) wait(now time.Time, it Item, capacity Capacity) time.Duration {
	own := it.Due.Sub(now)
	left := capacity.Drain
	for _, c := range q.classes {
		if c.name != it.Class && c.within < own {
			left -= c.rate.at(now)
		}
	}
	left = max(left, capacity.Drain*leastShare)
	ahead := max(q.Ahead(it.Due)-it.Cost, 0)
	return capacity.Slot() + time.Duration(ahead/left*float64(time.Second))
}

// leastShare keeps the prediction finite while tighter classes take all.
const leastShare = 0.05

// Ahead returns the queued cost that is due at or before a moment.
func (q *Queue) Ahead(due time.Time) float64 {
	sum := 0.0
	for _, c := range q.classes {
		sum += c.ahead(due)
	}
	return sum
}

// Pop takes the next item to run: of the class whose oldest item is due first, the account served least.
func (q *Queue) Pop(now time.Time) (Item, bool) {
	var best *classQueue
	var due time.Time
	for _, c := range q.classes {
		d, ok := c.earliest()
		if ok && (best == nil || d.Before(due) || d.Equal(due) && c.name < best.name) {
			best, due = c, d
		}
	}
	if best == nil {
		return Item{}, false
	}
	it := best.pop()
	best.rate.add(now, it.Cost)
	q.removed(it)
	return it, true
}

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
