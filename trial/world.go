package trial

import (
	"math/rand/v2"
	"sort"
	"time"

	"geraniumpass/retry"
)

const (
	entries        = 9
	upstreams      = 12
	domains        = 3
	reportInterval = 500 * time.Millisecond
	maxHops        = 2
	maxTries       = 4
	hopDelay       = time.Millisecond
	resultWindow   = 5 * time.Second
)

// world is the state of one trial.
type world struct {
	clock
	policy    Policy
	scenario  *Scenario
	lag       time.Duration
	random    *rand.Rand
	upstreams []*upstream
	entries   []*entry
	nextID    uint64
	budget    *retry.Budget
	tally     []tally
}

// tally accumulates the results of one class.
type tally struct {
	sent     int
	started  int
	onTime   int
	refused  int
	useful   float64
	waits    []time.Duration
	accounts map[string]*counts
	windows  map[int]*counts
}

type counts struct {
	sent   int
	onTime int
}

// Run simulates a scenario under a policy, with reports delayed by lag, from a seed.
func Run(s *Scenario, p Policy, lag time.Duration, seed uint64) Result {
	w := &world{
		policy:   p,
		scenario: s,
		lag:      lag,
		random:   rand.New(rand.NewPCG(seed, 1)),
		budget:   retry.NewBudget(),
	}
	n := upstreams
	if p == Bound {
		n = 1
	}
	for i := range n {
		w.upstreams = append(w.upstreams, newUpstream(w, i, i%domains, p.discipline()))
	}
	for i := range entries {
		w.entries = append(w.entries, newEntry(w, i, w.random))
	}
	for range s.Classes {
		w.tally = append(w.tally, tally{
			accounts: make(map[string]*counts),
			windows:  make(map[int]*counts),
		})
	}
	for i := range s.Sources {
		w.arrive(&s.Sources[i])
	}
	w.reportAll()
	w.run(s.Duration + time.Minute)
	return w.result()
}

func (w *world) reportAll() {
	for _, u := range w.upstreams {
		u.recordReport()
	}
	if w.now < w.scenario.Duration+time.Minute {
		w.after(reportInterval, w.reportAll)
	}
}

// arrive schedules a source's next request as a Poisson process with a varying rate.
func (w *world) arrive(s *Source) {
	const maxGap = 50 * time.Millisecond
	rate := s.Rate(w.now)
	if w.now >= w.scenario.Duration {
		return
	}
	gap := maxGap
	if rate > 0 {
		gap = time.Duration(w.random.ExpFloat64() / rate * float64(time.Second))
	}
	if gap >= maxGap {
		// A Poisson process is memoryless, so drawing again after maxGap follows a changing rate.
		w.after(maxGap, func() { w.arrive(s) })
		return
	}
	w.after(gap, func() {
		w.submit(s)
		w.arrive(s)
	})
}

func (w *world) submit(s *Source) {
	w.nextID++
	j := &job{
		id:      w.nextID,
		class:   s.Class,
		account: s.Account,
		cost:    w.scenario.Classes[s.Class].Cost,
		arrived: w.now,
		entry:   w.random.IntN(entries),
	}
	t := &w.tally[j.class]
	t.sent++
	t.countsOf(t.accounts, j.account).sent++
	t.windowCounts(j).sent++
	w.budget.Earn(w.scenario.Classes[j.class].Name)
	w.route(j)
}

func (w *world) route(j *job) {
	if !w.entries[j.entry].route(j) {
		w.reject(j, 0)
	}
}

func (t *tally) countsOf(m map[string]*counts, k string) *counts {
	if m[k] == nil {
		m[k] = &counts{}
	}
	return m[k]
}

func (t *tally) windowCounts(j *job) *counts {
	k := int(j.arrived / resultWindow)
	if t.windows[k] == nil {
		t.windows[k] = &counts{}
	}
	return t.windows[k]
}

// onRefused handles a job that an upstream rejected: it is routed again, or its caller has to retry
// later if hops or retry budget are used up or the policy is Bound.
func (w *world) onRefused(j *job, u *upstream, drain time.Duration) {
	w.entries[j.entry].inFlightCost[u.id] -= j.cost
	j.hops++
	if j.hops > maxHops || w.policy == Bound || !w.budget.Spend(w.scenario.Classes[j.class].Name) {
		w.reject(j, drain)
		return
	}
	w.after(hopDelay, func() { w.route(j) })
}

// reject refuses a request; its caller retries after the stated backoff as a new request of the
// same operation.
func (w *world) reject(j *job, drain time.Duration) {
	t := &w.tally[j.class]
	t.refused++
	j.attempts++
	if j.attempts >= maxTries {
		return
	}
	w.after(retry.After(drain, w.random), func() {
		j.hops = 0
		j.arrived = w.now
		j.entry = w.random.IntN(entries)
		w.nextID++
		j.id = w.nextID
		w.route(j)
	})
}

// onStart records the first token, which decides whether the target is met. For a retried request,
// the time counts from the latest attempt.
func (w *world) onStart(j *job, firstToken time.Duration) {
	t := &w.tally[j.class]
	wait := w.now + firstToken - j.arrived
	t.started++
	t.waits = append(t.waits, wait)
	if wait <= w.scenario.Classes[j.class].LatencyTarget && j.attempts == 0 {
		t.onTime++
		t.useful += j.cost
		t.countsOf(t.accounts, j.account).onTime++
		t.windowCounts(j).onTime++
	}
}

func (w *world) onFinish(j *job, u *upstream) {
	w.entries[j.entry].inFlightCost[u.id] -= j.cost
}

func (w *world) latencyTarget(class string) time.Duration {
	for _, c := range w.scenario.Classes {
		if c.Name == class {
			return c.LatencyTarget
		}
	}
	return 0
}

func (w *world) result() Result {
	r := Result{
		Scenario: w.scenario.Name,
		Policy:   w.policy,
		Lag:      w.lag,
	}
	for i := range w.tally {
		t := &w.tally[i]
		sort.Slice(t.waits, func(a, b int) bool { return t.waits[a] < t.waits[b] })
		r.Useful += t.useful / (upstreams * w.scenario.Duration.Seconds())
		r.Classes = append(r.Classes, ClassResult{
			Class:      w.scenario.Classes[i].Name,
			Sent:       t.sent,
			OnTime:     ratio(t.onTime, t.sent),
			P95:        quantile(t.waits, 0.95),
			P99:        quantile(t.waits, 0.99),
			Refusals:   t.refused,
			Unfairness: t.unfairness(),
			Recovery:   t.recovery(w.scenario.SurgeEnd, w.scenario.Duration),
		})
	}
	return r
}
