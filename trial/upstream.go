package trial

import (
	"time"

	"geraniumpass/queue"
	"geraniumpass/route"
)

const (
	tokenTime = 4 * time.Millisecond
	// knee is the number of concurrent streams from which on a step takes longer with each.
	knee = 16
)

// discipline is how an upstream orders and admits what waits before it.
type discipline struct {
	// byTarget uses the queue of the product; otherwise work waits in order of arrival.
	byTarget bool
	// shed refuses what can't be served in time.
	shed bool
	// fixedLimit runs that many at once instead of learning.
	fixedLimit int
}

// upstream is a fake model engine with its agent's queue.
type upstream struct {
	w       *world
	id      int
	domain  int
	d       discipline
	queue   *queue.Queue
	fifo    []*job
	limiter *queue.Limiter
	jobs    map[uint64]*job
	running int
	cost    float64
	busy    float64
	reports []snapshot
}

// snapshot is a report as it was at a moment.
type snapshot struct {
	at      time.Duration
	queued  []queue.ClassLoad
	running float64
	inUse   int
	limit   int
	drain   float64
	lost    bool
}

func newUpstream(w *world, id, domain int, d discipline) *upstream {
	return &upstream{
		w:       w,
		id:      id,
		domain:  domain,
		d:       d,
		queue:   queue.New(),
		limiter: queue.NewLimiter(),
		jobs:    make(map[uint64]*job),
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

// meanSpeed is the speed of the bound's one upstream, which stands for all.
func (u *upstream) meanSpeed() float64 {
	sum := 0.0
	for i := range upstreams {
		sum += u.w.scenario.Speed(i, u.w.now)
	}
	return sum / upstreams
}

func (u *upstream) limit() int {
	if u.d.fixedLimit > 0 {
		return u.d.fixedLimit
	}
	return u.limiter.Limit()
}

func (u *upstream) offer(j *job) {
	if u.speed() == 0 {
		u.w.refused(j, u, 0)
		return
	}
	if !u.d.byTarget {
		u.fifo = append(u.fifo, j)
		u.start()
		return
	}
	c := u.w.scenario.Classes[j.class]
	u.jobs[j.id] = j
	capacity := u.capacity()
	drain := capacity.DrainRate
	if !u.d.shed {
		capacity.DrainRate = 0
	}
	gone := u.queue.Push(u.w.time(), queue.Item{
		ID:            j.id,
		Class:         c.Name,
		Account:       j.account,
		LatencyTarget: c.Within,
		Due:           epoch.Add(j.came + c.Within),
		Expires:       epoch.Add(j.came + time.Hour),
		Cost:          j.cost,
	}, capacity)
	for _, it := range gone {
		victim := u.jobs[it.ID]
		delete(u.jobs, it.ID)
		u.w.refused(victim, u, time.Duration(u.queue.Cost()/max(drain, 1)*float64(time.Second)))
	}
	u.start()
}

// knee is the number of streams that an upstream runs without slowing down; the bound's one upstream stands for all.
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
	if unit := u.limiter.UnitTime(); u.d.fixedLimit > 0 && unit > 0 {
		c.DrainRate = float64(c.Limit) / unit
	}
	return c
}

func (u *upstream) next() *job {
	if !u.d.byTarget {
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

func (u *upstream) start() {
	for u.running < u.limit() {
		j := u.next()
		if j == nil {
			return
		}
		u.running++
		u.cost += j.cost
		slow := max(1, float64(u.running)/float64(u.knee())) / max(u.speed(), 0.01)
		token := time.Duration(float64(tokenTime) * slow)
		took := time.Duration(j.cost * float64(token))
		u.w.started(j, token)
		u.w.after(took, func() { u.finish(j, took) })
	}
}

func (u *upstream) finish(j *job, took time.Duration) {
	u.running--
	u.cost -= j.cost
	u.busy += j.cost
	u.limiter.Observe(u.w.time(), j.cost, took, u.queue.Len() > 0 || len(u.fifo) > 0)
	u.w.finished(j, u)
	u.start()
}

// report notes the present state, to be seen later.
func (u *upstream) report() {
	s := snapshot{
		at:      u.w.now,
		queued:  u.queue.Load(),
		running: u.cost,
		inUse:   u.running,
		limit:   u.limit(),
		drain:   u.limiter.DrainRate(),
		lost:    u.speed() == 0,
	}
	if !u.d.byTarget {
		sum := 0.0
		for _, j := range u.fifo {
			sum += j.cost
		}
		s.queued = []queue.ClassLoad{{Class: u.w.scenario.Classes[0].Name, Cost: sum, N: len(u.fifo)}}
	}
	u.reports = append(u.reports, s)
}

// seen returns the newest report that is older than the lag.
func (u *upstream) seen() (snapshot, bool) {
	for i := len(u.reports) - 1; i >= 0; i-- {
		if u.reports[i].at <= u.w.now-u.w.lag {
			u.reports = u.reports[i:]
			return u.reports[0], true
		}
	}
	return snapshot{}, false
}

func (u *upstream) candidate(e *entry) (route.Candidate, bool) {
	s, ok := u.seen()
	if s.lost {
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
		InFlight:   e.own[u.id],
	}
	if !ok {
		return c, true
	}
	for _, q := range s.queued {
		c.Queued = append(c.Queued, route.ClassCost{
			LatencyTarget: u.w.within(q.Class),
			Cost:          q.Cost,
		})
	}
	return c, true
}
