package gate

import (
	"expvar"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"geraniumpass/core"
	"geraniumpass/crash"
	"geraniumpass/leave"
	"geraniumpass/meter"
	"geraniumpass/pool"
	"geraniumpass/quota"
	"geraniumpass/retry"
	"geraniumpass/view"
)

// Options are what a gate is told of its surroundings.
type Options struct {
	// Name is this entry's own.
	Name   string
	Domain string
	// Allowance is what all entries together may send again.
	Allowance retry.Allowance
	// Started is when this entry began; an earlier life of it may have spent its part of the allowance's slack before.
	Started time.Time
	// Key is what requests are hashed with to be known again, the same at all entries.
	Key []byte
	// Ends is what is known of requests under which instances ended; without one the gate keeps its own.
	Ends *crash.Registry
	// Quotas are the limits that instances state and this entry's parts of them; without them the gate keeps its own.
	Quotas *quota.Registry
	// Leaving are the instances that have said that they leave; without them the gate keeps its own.
	Leaving *leave.Registry
}

// Gate answers callers; it is safe for use by several goroutines.
type Gate struct {
	opts      Options
	clock     clockwork.Clock
	log       hclog.Logger
	view      *view.Cache
	dialect   Dialect
	pool      *pool.Pool
	loads     *loads
	pulse     *pulse
	probes    *probes
	budgets   *budgets
	hasher    *crash.Hasher
	ends      *crash.Registry
	quotas    *quota.Registry
	rests     *rests
	departing *leave.Registry
	repeats   *retry.Window
	meter     *meter.Meter

	randomMu sync.Mutex
	random   *rand.Rand
	// pickMu is held from the look at the loads until the instance chosen counts as sent to; picks draws between equals.
	pickMu sync.Mutex
	picks  *rand.Rand

	neighbors neighbors

	inFlight atomic.Int64
	leaving  atomic.Bool
}

var outcomes = expvar.NewMap("requests")

// New returns a gate over the view's table and instances.
func New(opts Options, clock clockwork.Clock, log hclog.Logger, v *view.Cache, d Dialect, m *meter.Meter) *Gate {
	ends := opts.Ends
	if ends == nil {
		ends = crash.New(clock, log)
	}
	quotas := opts.Quotas
	if quotas == nil {
		quotas = quota.New(opts.Name, clock, log)
	}
	departing := opts.Leaving
	if departing == nil {
		departing = leave.New(clock, log)
	}
	return &Gate{
		opts:      opts,
		clock:     clock,
		log:       log,
		view:      v,
		dialect:   d,
		pool:      pool.New(clock),
		loads:     newLoads(),
		pulse:     newPulse(),
		probes:    newProbes(),
		budgets:   newBudgets(),
		hasher:    crash.NewHasher(opts.Key),
		ends:      ends,
		quotas:    quotas,
		rests:     newRests(),
		departing: departing,
		repeats:   retry.NewWindow(opts.Allowance, opts.Started),
		meter:     m,
		neighbors: neighbors{name: opts.Name},
		random:    rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		picks:     rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}

// Leave makes every further answer tell its caller to use another connection.
func (g *Gate) Leave() {
	g.leaving.Store(true)
}

// InFlight returns how many requests are being answered.
func (g *Gate) InFlight() int64 {
	return g.inFlight.Load()
}

// Sweep forgets what belongs to instances, or to starts of them, that are gone.
func (g *Gate) Sweep() {
	s := g.view.Now()
	targets := make(map[pool.Target]bool, len(s.Instances))
	for _, in := range s.Instances {
		targets[targetOf(in)] = true
	}
	g.pool.Forget(func(t pool.Target) bool { return targets[t] })
	g.probes.forget(g.clock.Now())
	g.ends.Sweep()
	g.departing.Sweep()
	listed := func(start core.Start) bool {
		in, ok := s.Instance(start.ID)
		return ok && in.Start() == start
	}
	g.loads.forget(listed)
	g.quotas.Sweep(listed)
	g.rests.forget(g.clock.Now())
}

func (g *Gate) draw(n int) int {
	g.randomMu.Lock()
	defer g.randomMu.Unlock()
	return g.random.IntN(n)
}

// entries is how many entries share the allowance of repeats: those known, this one at least.
func entries(s *view.Snapshot) int {
	return max(1, len(s.Members))
}

// since is the time that has passed on the gate's clock.
func (g *Gate) since(t time.Time) time.Duration {
	return g.clock.Since(t)
}
