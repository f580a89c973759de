package trial

import (
	"time"

	"geraniumpass/queue"
	"geraniumpass/route"
)

const (
	tokenTime = 4 * time.Millisecond
	// knee is the concurrency above which each further stream makes steps slower.
	knee = 16
)

// discipline is how an upstream orders and admits queued work.
type discipline struct {
	// byTarget selects the product's queue instead of first in, first out.
	byTarget bool
	// shed rejects work that can't be served in time.
	shed bool
	// fixedLimit is the concurrency limit; zero selects the learned limit.
	fixedLimit int
}

// upstream is a fake model engine with the queue of its agent.
type upstream struct {
	w          *world
	id         int
	domain     int
	discipline discipline
	queue      *queue.Queue
	fifo       []*job
	limiter    *queue.Limiter
	jobs       map[uint64]*job
	running    int
	cost       float64
	busy       float64
	reports    []snapshot
}

// snapshot is a load report with its time.
type snapshot struct {
	at      time.Duration
	queued  []queue.ClassLoad
	running float64
	inUse   int
	limit   int
	drain   float64
	down    bool
}

func newUpstream(w *world, id, domain int, d discipline) *upstream {
	return &upstream{
		w:          w,
		id:         id,
		domain:     domain,
		discipline: d,
		queue:      queue.New(),
		limiter:    queue.NewLimiter(),
		jobs:       make(map[uint64]*job),
	}
}

func (u *upstream) speed() float64 {
	if u.w.scenario.Speed == nil {
		return 1
	}
	if u.w.policy == Bound {
		return u.meanSpeed()
	}
	return u.w.scenario.Speed(u.id, u.w.now)
}

// meanSpeed returns the speed of Bound's single upstream, which represents all upstreams.
func (u *upstream) meanSpeed() float64 {
	sum := 0.0
	for i := range upstreams {
		sum += u.w.scenario.Speed(i, u.w.now)
	}
	return sum / upstreams
}

func (u *upstream) limit() int {
	if u.discipline.fixedLimit > 0 {
		return u.discipline.fixedLimit
	}
	return u.limiter.Limit()
}

func (u *upstream) enqueue(j *job) {
	if u.speed() == 0 {
		u.w.onRefused(j, u, 0)
		return
	}
	if !u.discipline.byTarget {
		u.fifo = append(u.fifo, j)
		u.startWaiting()
		return
	}
	c := u.w.scenario.Classes[j.class]
	u.jobs[j.id] = j
	capacity := u.capacity()
	drain := capacity.DrainRate
	if !u.discipline.shed {
		capacity.DrainRate = 0
	}
	rejected := u.queue.Push(u.w.time(), queue.Item{
		ID:            j.id,
		Class:         c.Name,
		Account:       j.account,
		LatencyTarget: c.LatencyTarget,
		Due:           epoch.Add(j.arrived + c.LatencyTarget),
		Expires:       epoch.Add(j.arrived + time.Hour),
		Cost:          j.cost,
	}, capacity)
	for _, it := range rejected {
		victim := u.jobs[it.ID]
		delete(u.jobs, it.ID)
		u.w.onRefused(victim, u, time.Duration(u.queue.Cost()/max(drain, 1)*float64(time.Second)))
	}
	u.startWaiting()
}

// knee returns the concurrency of an upstream without slowdown. The single upstream of Bound
// represents all upstreams.
func (u *upstream) knee() int {
	if u.w.policy == Bound {
		return knee * upstreams
	}
	return knee
}

func (u *upstream) capacity() queue.Capacity {
	c := queue.Capacity{
		Running:   u.running,
		Limit:     u.limit(),
		Cost:      u.cost,
		DrainRate: u.limiter.DrainRate(),
	}
	if unit := u.limiter.UnitTime(); u.discipline.fixedLimit > 0 && unit > 0 {
		c.DrainRate = float64(c.Limit) / unit
	}
	return c
}

func (u *upstream) dequeue() *job {
	if !u.discipline.byTarget {
		if len(u.fifo) == 0 {
			return nil
		}
		j := u.fifo[0]
		u.fifo = u.fifo[1:]
		return j
	}
	it, ok := u.queue.Pop(u.w.time(), u.capacity())
	if !ok {
		return nil
	}
	j := u.jobs[it.ID]
	delete(u.jobs, it.ID)
	return j
}

func (u *upstream) startWaiting() {
	for u.running < u.limit() {
		j := u.dequeue()
		if j == nil {
			return
		}
		u.running++
		u.cost += j.cost
		slowdown := max(1, float64(u.running)/float64(u.knee())) / max(u.speed(), 0.01)
		perToken := time.Duration(float64(tokenTime) * slowdown)
		duration := time.Duration(j.cost * float64(perToken))
		u.w.onStart(j, perToken)
		u.w.after(duration, func() { u.finish(j, duration) })
	}
}

func (u *upstream) finish(j *job, duration time.Duration) {
	u.running--
	u.cost -= j.cost
	u.busy += j.cost
	u.limiter.Observe(u.w.time(), j.cost, duration, u.queue.Len() > 0 || len(u.fifo) > 0)
	u.w.onFinish(j, u)
	u.startWaiting()
}

// recordReport stores a snapshot of the current state, which entries see after the lag.
func (u *upstream) recordReport() {
	s := snapshot{
		at:      u.w.now,
		queued:  u.queue.Load(),
		running: u.cost,
		inUse:   u.running,
		limit:   u.limit(),
		drain:   u.limiter.DrainRate(),
		down:    u.speed() == 0,
	}
	if !u.discipline.byTarget {
		sum := 0.0
		for _, j := range u.fifo {
			sum += j.cost
		}
		s.queued = []queue.ClassLoad{{Class: u.w.scenario.Classes[0].Name, Cost: sum, N: len(u.fifo)}}
	}
	u.reports = append(u.reports, s)
}

// visibleReport returns the newest report that is at least as old as the lag, and discards older
// ones.
func (u *upstream) visibleReport() (snapshot, bool) {
	for i := len(u.reports) - 1; i >= 0; i-- {
		if u.reports[i].at <= u.w.now-u.w.lag {
			u.reports = u.reports[i:]
			return u.reports[0], true
		}
	}
	return snapshot{}, false
}

func (u *upstream) candidate(e *entry) (route.Candidate, bool) {
	s, ok := u.visibleReport()
	if s.down {
		return route.Candidate{}, false
	}
	c := route.Candidate{
		ID:         string(rune('a' + u.id)),
		Domain:     string(rune('A' + u.domain)),
		Running:    s.running,
		InUse:      s.inUse,
		Limit:      s.limit,
		DrainRate:  s.drain,
		Unreported: e.sentSince(u.id, s.at),
		InFlight:   e.inFlightCost[u.id],
	}
	if !ok {
		return c, true
	}
	for _, q := range s.queued {
		c.Queued = append(c.Queued, route.ClassCost{
			LatencyTarget: u.w.latencyTarget(q.Class),
			Cost:          q.Cost,
		})
	}
	return c, true
}
