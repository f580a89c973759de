package trial

import (
	"math/rand/v2"
	"sort"
	"time"

	"geraniumpass/retry"
)

const (
	entries     = 9
	upstreams   = 12
	domains     = 3
	reportEvery = 500 * time.Millisecond
	maxHops     = 2
	maxTries    = 4
	hopTime     = time.Millisecond
	window      = 5 * time.Second
)

// world is one trial under way.
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

// tally collects one class's results.
type tally struct {
	sent     int
	whole    int
	onTime   int
	refused  int
	useful   float64
	waits    []time.Duration
	accounts map[string]*share
	windows  map[int]*share
}

type share struct {
	sent   int
	onTime int
}

// Run plays a scenario under a policy with reports that are late by lag, from a seed.
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
			accounts: make(map[string]*share),
			windows:  make(map[int]*share),
		})
	}
	for i := range s.Sources {
		w.arrive(&s.Sources[i])
	}
	w.tick()
	w.run(s.Lasts + time.Minute)
	return w.result()
}

func (w *world) tick() {
	for _, u := range w.upstreams {
		u.report()
	}
	if w.now < w.scenario.Lasts+time.Minute {
		w.after(reportEvery, w.tick)
	}
}

// arrive draws a source's next request as a Poisson process whose rate may change.
func (w *world) arrive(s *Source) {
	const most = 50 * time.Millisecond
	rate := s.Rate(w.now)
	if w.now >= w.scenario.Lasts {
		return
	}
	gap := most
	if rate > 0 {
		gap = time.Duration(w.random.ExpFloat64() / rate * float64(time.Second))
	}
	if gap >= most {
		// The process has no memory: drawing again after a short while follows a rate that changes.
		w.after(most, func() { w.arrive(s) })
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
		came:    w.now,
		entry:   w.random.IntN(entries),
	}
	t := &w.tally[j.class]
	t.sent++
	t.share(t.accounts, j.account).sent++
	t.window(j).sent++
	w.budget.Earn(w.scenario.Classes[j.class].Name)
	w.route(j)
}

func (w *world) route(j *job) {
	if !w.entries[j.entry].route(j) {
		w.giveUp(j, 0)
	}
}

func (t *tally) share(m map[string]*share, k string) *share {
	if m[k] == nil {
		m[k] = &share{}
	}
	return m[k]
}

func (t *tally) window(j *job) *share {
	k := int(j.came / window)
	if t.windows[k] == nil {
		t.windows[k] = &share{}
	}
	return t.windows[k]
}

// refused hears that an upstream did not take a job: another is tried, then the caller is told when to come back.
func (w *world) refused(j *job, u *upstream, drain time.Duration) {
	w.entries[j.entry].own[u.id] -= j.cost
	j.hops++
	if j.hops > maxHops || w.policy == Bound || !w.budget.Spend(w.scenario.Classes[j.class].Name) {
		w.giveUp(j, drain)
		return
	}
	w.after(hopTime, func() { w.route(j) })
}

// giveUp answers the caller, who comes back after the stated time as a new request of the same operation.
func (w *world) giveUp(j *job, drain time.Duration) {
	t := &w.tally[j.class]
	t.refused++
	j.tries++
	if j.tries >= maxTries {
		return
	}
	w.after(retry.After(drain, w.random), func() {
		j.hops = 0
		j.came = w.now
		j.entry = w.random.IntN(entries)
		w.nextID++
		j.id = w.nextID
		w.route(j)
	})
}

// started counts the first token, at which the target is judged; a caller who came back counts from the last time it came.
func (w *world) started(j *job, token time.Duration) {
	t := &w.tally[j.class]
	wait := w.now + token - j.came
	t.whole++
	t.waits = append(t.waits, wait)
	if wait <= w.scenario.Classes[j.class].Within && j.tries == 0 {
		t.onTime++
		t.useful += j.cost
		t.share(t.accounts, j.account).onTime++
		t.window(j).onTime++
	}
}

func (w *world) finished(j *job, u *upstream) {
	w.entries[j.entry].own[u.id] -= j.cost
}

func (w *world) within(class string) time.Duration {
	for _, c := range w.scenario.Classes {
		if c.Name == class {
			return c.Within
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
		r.Useful += t.useful / (upstreams * w.scenario.Lasts.Seconds())
		r.Classes = append(r.Classes, ClassResult{
			Class:      w.scenario.Classes[i].Name,
			Sent:       t.sent,
			OnTime:     ratio(t.onTime, t.sent),
			P95:        quantile(t.waits, 0.95),
			P99:        quantile(t.waits, 0.99),
			Refusals:   t.refused,
			Unfairness: t.unfairness(),
			Recovery:   t.recovery(w.scenario.SurgeEnds, w.scenario.Lasts),
		})
	}
	return r
}
