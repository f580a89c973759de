package gate

import (
	"context"
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
	"geraniumpass/loads"
	"geraniumpass/meter"
	"geraniumpass/pool"
	"geraniumpass/quota"
	"geraniumpass/retry"
	"geraniumpass/view"
)

// Options configures a Gate.
type Options struct {
	// Name is the name of this entry.
	Name   string
	Domain string
	// Allowance is the retry budget that all entries share.
	Allowance retry.Allowance
	// Started is when this process started; an earlier process of this entry may already have spent
	// its share of the allowance's slack.
	Started time.Time
	// Key is the hash key for request digests. All entries use the same key, so that each of them
	// recognizes a repeated request.
	Key []byte
	// Crashes records the requests that instances were running when they terminated; if nil, the gate
	// creates its own.
	Crashes *crash.Registry
	// Quotas holds the limits advertised by instances and this entry's shares of them; if nil, the gate
	// creates its own.
	Quotas *quota.Registry
	// Cold is what all entries together may send to a cold instance.
	Cold ColdAllowance
	// Leaving holds the instances that announced that they leave; if nil, the gate creates its own.
	Leaving *leave.Registry
	// Shed is which requests are refused when the groups have no room for all; ShedRanked if empty.
	Shed ShedMode
	// Groups holds the load of the rank groups; if nil, the gate creates its own.
	Groups *loads.Board
}

// Gate is an http.Handler that forwards callers' requests to upstreams. It is safe for concurrent
// use.
type Gate struct {
	opts             Options
	clock            clockwork.Clock
	log              hclog.Logger
	view             *view.Cache
	dialect          Dialect
	pool             *pool.Pool
	loads            *loadTracker
	health           *serviceHealth
	probes           *probes
	budgets          *callerBudgets
	hasher           *crash.Hasher
	crashes          *crash.Registry
	quotas           *quota.Registry
	cold             *coldLimits
	cooldowns        *cooldowns
	leavingInstances *leave.Registry
	groups           *loads.Board
	shedders         *shedders
	departures       *departures
	retryBudget      *retry.WindowBudget
	durations        *durations
	meter            *meter.Meter

	randomMu sync.Mutex
	random   *rand.Rand
	// pickMu is held from reading the loads until the picked instance counts as sent to. pickRandom
	// breaks ties.
	pickMu     sync.Mutex
	pickRandom *rand.Rand

	preferred  preferredCache
	groupNames groupNames

	inFlight atomic.Int64
	// due is when all answers are due because the process ends, nil while it does not stop. expired is done
	// from then on. drainedAt is when due was set; it is valid once expired is done.
	due       atomic.Pointer[time.Time]
	drainedAt time.Time
	expired   context.Context
	expire    context.CancelFunc
}

var outcomes = expvar.NewMap("requests")

// New returns a gate that uses the routing table and the instances of v.
func New(opts Options, clock clockwork.Clock, log hclog.Logger, v *view.Cache, d Dialect, m *meter.Meter) *Gate {
	crashes := opts.Crashes
	if crashes == nil {
		crashes = crash.New(clock, log)
	}
	quotas := opts.Quotas
	if quotas == nil {
		quotas = quota.New(opts.Name, clock, log)
	}
	leaving := opts.Leaving
	if leaving == nil {
		leaving = leave.New(clock, log)
	}
	groups := opts.Groups
	if groups == nil {
		groups = loads.NewBoard(clock)
	}
	g := &Gate{
		opts:    opts,
		clock:   clock,
		log:     log,
		view:    v,
		dialect: d,
		pool:    pool.New(clock),
		loads:   newLoadTracker(),
		health:  newServiceHealth(),
		probes:  newProbes(),
		budgets: newCallerBudgets(),
		hasher:  crash.NewHasher(opts.Key),
		crashes: crashes,
		quotas:  quotas,
		cold: &coldLimits{
			allowance: opts.Cold,
			quotas:    quota.New(opts.Name, clock, log.Named("cold")),
		},
		cooldowns:        newCooldowns(),
		leavingInstances: leaving,
		groups:           groups,
		departures:       newDepartures(),
		durations:        newDurations(),
		retryBudget:      retry.NewWindowBudget(opts.Allowance, opts.Started),
		meter:            m,
		preferred:        preferredCache{entryName: opts.Name},
		random:           rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		pickRandom:       rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	g.expired, g.expire = context.WithCancel(context.Background())
	g.shedders = newShedders(opts.Shed, g.randomFloat)
	return g
}

// InFlight returns the number of requests in flight.
func (g *Gate) InFlight() int64 {
	return g.inFlight.Load()
}

// Sweep evicts the state of instances and incarnations that are gone.
func (g *Gate) Sweep() {
	s := g.view.Now()
	targets := make(map[pool.Target]bool, len(s.Instances))
	for _, in := range s.Instances {
		targets[targetOf(in)] = true
	}
	g.pool.Prune(func(t pool.Target) bool { return targets[t] })
	g.probes.evictExpired(g.clock.Now())
	g.crashes.Sweep()
	g.leavingInstances.Sweep()
	listed := func(start core.Start) bool {
		in, ok := s.Instance(start.ID)
		return ok && in.Start() == start
	}
	g.loads.evict(listed)
	g.quotas.Sweep(listed)
	g.cold.quotas.Sweep(listed)
	g.cooldowns.evictExpired(g.clock.Now())
	g.groups.Sweep(listed)
	g.shedders.sweep(s.Table)
	g.durations.sweep(s.Table)
}

func (g *Gate) randomIntN(n int) int {
	g.randomMu.Lock()
	defer g.randomMu.Unlock()
	return g.random.IntN(n)
}

// entryCount returns the number of known entries, at least one.
func entryCount(s *view.Snapshot) int {
	return max(1, len(s.Members))
}

// elapsed returns the time since t on the gate's clock.
func (g *Gate) elapsed(t time.Time) time.Duration {
	return g.clock.Since(t)
}
