package queue

import (
	"math"
	"sort"
	"time"
)

// Queue holds waiting attempts by class and account; it is not safe for concurrent use.
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

// Headroom is the share of the time until its due time within which an item must be predicted to
// start. The rest keeps looser classes from reaching their due times, so that in overload they
// don't overtake tighter ones.
const Headroom = 0.75

// Push enqueues an item and sheds load if the item can't start in time. It returns the shed items,
// which never ran: the newest of the account with the highest queued cost in the class, or the new
// item.
func (q *Queue) Push(now time.Time, it Item, capacity Capacity) []Item {
	q.seq++
	it.seq = q.seq
	c := q.class(it.Class)
	c.latencyTarget = it.LatencyTarget
	c.push(it)
	q.n++
	q.cost += it.Cost
	left := time.Duration(float64(it.Due.Sub(now)) * Headroom)
	if capacity.DrainRate <= 0 || q.predictWait(now, it, capacity) <= left {
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

// predictWait predicts the time until an item starts, behind its own class, the tighter ones, and
// the arrivals of the tighter ones meanwhile.
func (q *Queue) predictWait(now time.Time, it Item, capacity Capacity) time.Duration {
	left := capacity.DrainRate
	for _, c := range q.classes {
		if c.name != it.Class && c.latencyTarget < it.LatencyTarget {
			left -= c.rate.perSecond(now)
		}
	}
	left = max(left, capacity.DrainRate*minDrainShare)
	ahead := max(q.CostAhead(it.LatencyTarget)-it.Cost, 0)
	return capacity.SlotWait() + time.Duration(ahead/left*float64(time.Second))
}

// minDrainShare keeps the prediction finite while tighter classes use the full drain rate.
const minDrainShare = 0.05

// CostAhead returns the queued cost of the classes with a latency target of at most target.
func (q *Queue) CostAhead(target time.Duration) float64 {
	sum := 0.0
	for _, c := range q.classes {
		if c.latencyTarget <= target {
			sum += c.cost
		}
	}
	return sum
}

// Pop removes the next item to run: from the class with the tightest target, the account served
// least. Ordering by due time would, in overload, let late items of loose classes overtake tight
// ones, so that both miss their targets. Part of the limit is reserved for the usual demand of
// tighter classes, because a long attempt of a loose class would block them.
func (q *Queue) Pop(now time.Time, capacity Capacity) (Item, bool) {
	var best *classQueue
	for _, c := range q.classes {
		if c.n > 0 && (best == nil || c.latencyTarget < best.latencyTarget || c.latencyTarget == best.latencyTarget && c.name < best.name) {
			best = c
		}
	}
	if best == nil || capacity.Running+q.reserve(now, best, capacity) >= capacity.Limit {
		return Item{}, false
	}
	it := best.pop()
	best.rate.add(now, it.Cost)
	q.noteRemoved(it)
	return it, true
}

// reserveFactor is the multiple of the mean demand of tighter classes that is reserved for them,
// and maxReserveShare the largest share of the limit that is reserved.
const (
	reserveFactor   = 2
	maxReserveShare = 0.5
)

// reserve returns how many slots of the limit a class must leave to tighter ones.
func (q *Queue) reserve(now time.Time, c *classQueue, capacity Capacity) int {
	if capacity.DrainRate <= 0 {
		return 0
	}
	unit := float64(capacity.Limit) / capacity.DrainRate
	need := 0.0
	for _, other := range q.classes {
		if other.latencyTarget < c.latencyTarget {
			need += other.rate.perSecond(now) * unit
		}
	}
	if need < minReservedSlots {
		return 0
	}
	return int(math.Ceil(min(need*reserveFactor, float64(capacity.Limit)*maxReserveShare)))
}

// minReservedSlots is the mean demand in slots below which nothing is reserved.
const minReservedSlots = 0.05

// Expire removes and returns the items whose caller's deadline has passed.
func (q *Queue) Expire(now time.Time) []Item {
	return q.removeWhere(func(it Item) bool { return !it.Expires.After(now) })
}

// Remove removes the item with the given ID and reports whether it was found.
func (q *Queue) Remove(id uint64) bool {
	return len(q.removeWhere(func(it Item) bool { return it.ID == id })) > 0
}

// Drain removes and returns all items.
func (q *Queue) Drain() []Item {
	return q.removeWhere(func(Item) bool { return true })
}

// Len returns the number of waiting items.
func (q *Queue) Len() int {
	return q.n
}

// Cost returns the total cost of all waiting items.
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

func (q *Queue) removeWhere(match func(Item) bool) []Item {
	var out []Item
	for _, c := range q.classes {
		out = append(out, c.removeWhere(match)...)
	}
	for _, it := range out {
		q.noteRemoved(it)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].seq < out[j].seq })
	return out
}

func (q *Queue) noteRemoved(it Item) {
	q.n--
	q.cost -= it.Cost
	if q.n == 0 {
		q.cost = 0
	}
}
