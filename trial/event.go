package trial

import (
	"container/heap"
	"time"
)

// event is a callback scheduled for a time; seq orders events of the same time.
type event struct {
	at  time.Duration
	seq int
	fn  func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// clock is a simulated clock that runs events in time order.
type clock struct {
	now    time.Duration
	seq    int
	events eventHeap
}

// epoch is the simulated start time of every trial.
var epoch = time.Unix(1_800_000_000, 0)

func (c *clock) time() time.Time {
	return epoch.Add(c.now)
}

func (c *clock) after(d time.Duration, fn func()) {
	c.seq++
	heap.Push(&c.events, event{
		at:  c.now + max(d, 0),
		seq: c.seq,
		fn:  fn,
	})
}

func (c *clock) run(until time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= until {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.fn()
	}
	c.now = until
}
