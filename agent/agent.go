package agent

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/samber/do/v2"
	"github.com/zeebo/errs/v2"

	"geraniumpass/accept"
	"geraniumpass/config"
	"geraniumpass/ledger"
	"geraniumpass/queue"
	"geraniumpass/setup"
	"geraniumpass/wire"
)

const (
	tickInterval        = 100 * time.Millisecond
	healthCheckInterval = 500 * time.Millisecond
	expireInterval      = 30 * time.Second
	flushTimeout        = time.Second
	sessionRetention    = time.Hour
	// maxBodyBytes bounds the body of a request to this process, none of which has one.
	maxBodyBytes = 1
	// onlyListener is the part of the connections of a process with one listener.
	onlyListener = 1.0
)

// Agent is the process in front of one upstream. It owns the request queue and dispatches to that
// upstream.
type Agent struct {
	cfg      *setup.Agent
	log      hclog.Logger
	clock    clockwork.Clock
	self     wire.Identity
	ledger   *ledger.Ledger
	config   *config.Holder
	upstream Upstream
	sessions *sessions
	transits *transitTracker
	runs     *runs
	rank     *rank
	app      *fiber.App

	// schedMu guards queue, limiter, running, lastItemID, waiting and runningCost.
	schedMu    sync.Mutex
	queue      *queue.Queue
	limiter    *queue.Limiter
	running    int
	lastItemID uint64
	waiting    map[uint64]*run
	// runningCost is the total cost of the running attempts.
	runningCost float64

	leaving           atomic.Bool
	healthy           atomic.Bool
	lastConfigRequest atomic.Int64
	leavingSince      atomic.Int64
	// stalledAttempts counts the attempts blocked on a stalled upstream.
	stalledAttempts atomic.Int64
	inFlight        sync.WaitGroup
	background      sync.WaitGroup
}

// New builds an agent from the injected *setup.Agent, hclog.Logger, clockwork.Clock and Upstream.
func New(i do.Injector) (*Agent, error) {
	cfg, err := do.Invoke[*setup.Agent](i)
	if err != nil {
		return nil, errs.Wrap(err)
	}
	clock, err := do.Invoke[clockwork.Clock](i)
	if err != nil {
		return nil, errs.Wrap(err)
	}
	log, err := do.Invoke[hclog.Logger](i)
	if err != nil {
		return nil, errs.Wrap(err)
	}
	up, err := do.Invoke[Upstream](i)
	if err != nil {
		return nil, errs.Wrap(err)
	}
	self := wire.Identity{
		ID:          cfg.ID,
		Role:        cfg.Role,
		Domain:      cfg.Domain,
		Incarnation: wire.NewIncarnation(),
	}
	a := &Agent{
		cfg:      cfg,
		log:      log.With("agent", cfg.ID),
		clock:    clock,
		self:     self,
		ledger:   ledger.New(clock, self.Incarnation, sessionRetention),
		config:   config.NewHolder(clock),
		upstream: up,
		sessions: newSessions(),
		transits: newTransitTracker(clock.Now()),
		runs:     newRuns(),
		queue:    queue.New(),
		waiting:  make(map[uint64]*run),
		limiter:  queue.NewLimiter(),
	}
	a.healthy.Store(true)
	a.rank = newRank(a)
	return a, nil
}

// Run serves until ctx is cancelled, then shuts down gracefully: it refuses new work, finishes the
// running attempts and returns.
func (a *Agent) Run(ctx context.Context) error {
	a.app = a.routes()
	ln, err := a.listen()
	if err != nil {
		return errs.Wrap(err)
	}
	failed := make(chan error, 1)
	go func() {
		failed <- a.app.Listener(ln, fiber.ListenConfig{DisableStartupMessage: true})
	}()
	loops, stop := context.WithCancel(context.Background())
	defer stop()
	a.background.Add(1)
	go a.loop(loops)
	a.log.Info("agent started", "listen", a.cfg.Listen, "service", a.cfg.Upstream.Service, "incarnation", a.self.Incarnation)
	select {
	case err := <-failed:
		return errs.Wrap(err)
	case <-ctx.Done():
	}
	a.drain()
	stop()
	a.background.Wait()
	a.sessions.closeAll(flushTimeout)
	_ = a.app.ShutdownWithTimeout(flushTimeout)
	a.log.Info("agent stopped")
	return nil
}

// listen opens the listener for links.
func (a *Agent) listen() (*accept.Listener, error) {
	bounds := accept.NewBounds(a.cfg.Limits.MemoryMB, a.cfg.Limits.MaxFiles)
	ln, err := accept.Listen(accept.Config{
		Address:  a.cfg.Listen,
		Name:     "links",
		MaxConns: bounds.MaxConns(onlyListener),
		Budget:   bounds.Budget(onlyListener),
		Clock:    a.clock,
		Log:      a.log,
	})
	if err != nil {
		return nil, err
	}
	ln.BindFast(a.app.Server())
	return ln, nil
}

func (a *Agent) loop(ctx context.Context) {
	defer a.background.Done()
	tick := a.clock.NewTicker(tickInterval)
	defer tick.Stop()
	health := a.clock.NewTicker(healthCheckInterval)
	defer health.Stop()
	expire := a.clock.NewTicker(expireInterval)
	defer expire.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.Chan():
			a.expireQueue()
			a.schedule()
		case <-health.Chan():
			a.checkHealth()
			a.abandonOrphans()
		case <-expire.Chan():
			a.ledger.Expire()
			a.runs.expire(a.clock.Now())
		}
	}
}
