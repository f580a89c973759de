package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/samber/do/v2"
	"github.com/zeebo/errs/v2"

	"geraniumpass/accept"
	"geraniumpass/check"
	"geraniumpass/config"
	"geraniumpass/meter"
	"geraniumpass/retry"
	"geraniumpass/setup"
	"geraniumpass/store"
	"geraniumpass/wire"
)

const (
	defaultMaxLinks       = 96
	defaultMaxBodyBytes   = 8 << 20
	defaultDeadline       = 2 * time.Minute
	defaultClaimRetention = time.Hour
	shutdownTimeout       = 10 * time.Minute
	// shutdownDelay is how long a stopping entry keeps accepting requests while it reports not
	// ready and closes connections, so that callers and load balancers move elsewhere.
	shutdownDelay  = 2 * time.Second
	maxHeaderBytes = 16 << 10
	// callerPart and controlPart are each listener's part of the connections that clients may open.
	callerPart  = 0.7
	controlPart = 0.3
)

// Entry accepts callers' requests and dispatches them to agents.
type Entry struct {
	cfg   *setup.Entry
	log   hclog.Logger
	clock clockwork.Clock
	// startedAt is the origin of the timestamps that sinceStart returns.
	startedAt    time.Time
	self         wire.Identity
	store        store.Store
	lister       Lister
	config       *config.Holder
	peers        *peers
	claims       *claims
	configWriter *configWriter
	retryBudget  *retry.Budget
	meter        *meter.Meter
	groups       *groupLeaders
	gossip       *gossiper

	callerApp  *fiber.App
	controlApp *fiber.App
	requests   atomic.Uint64
	inFlight   atomic.Int64
	stopping   atomic.Bool
	// configModRevision is the newest modification revision read from the configuration key.
	configModRevision atomic.Int64
	background        sync.WaitGroup
	// ctx is cancelled after the last request was answered, to stop the background loops.
	ctx    context.Context
	cancel context.CancelFunc
}

// New builds an entry; the injector must provide *setup.Entry, hclog.Logger, clockwork.Clock,
// store.Store and Lister.
func New(i do.Injector) (*Entry, error) {
	cfg, err := do.Invoke[*setup.Entry](i)
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
	st, err := do.Invoke[store.Store](i)
	if err != nil {
		return nil, errs.Wrap(err)
	}
	list, err := do.Invoke[Lister](i)
	if err != nil {
		return nil, errs.Wrap(err)
	}
	withDefaults(cfg)
	e := &Entry{
		cfg:       cfg,
		log:       log.With("entry", cfg.ID),
		clock:     clock,
		startedAt: clock.Now(),
		self: wire.Identity{
			ID:          cfg.ID,
			Role:        cfg.Role,
			Domain:      cfg.Domain,
			Incarnation: wire.NewIncarnation(),
		},
		store:       st,
		lister:      list,
		config:      config.NewHolder(clock),
		retryBudget: retry.NewBudget(),
		meter:       meter.New(clock),
	}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	e.peers = newPeers(e)
	e.gossip = newGossiper(e)
	e.claims = newClaims(st, clock, cfg.ClaimRetention.Duration)
	e.configWriter = newConfigWriter(st, clock, e.config)
	e.groups = newGroupLeaders(e)
	return e, nil
}

func withDefaults(cfg *setup.Entry) {
	if cfg.MaxLinks == 0 {
		cfg.MaxLinks = defaultMaxLinks
	}
	if cfg.MaxBody == 0 {
		cfg.MaxBody = defaultMaxBodyBytes
	}
	if cfg.DefaultDeadline.Duration == 0 {
		cfg.DefaultDeadline.Duration = defaultDeadline
	}
	if cfg.ClaimRetention.Duration == 0 {
		cfg.ClaimRetention.Duration = defaultClaimRetention
	}
}

// Run serves until ctx is cancelled, then shuts down gracefully, completing all requests in flight.
func (e *Entry) Run(ctx context.Context) error {
	e.callerApp = e.callerRoutes()
	e.controlApp = e.controlRoutes()
	failed := make(chan error, 2)
	bounds := accept.NewBounds(e.cfg.Limits.MemoryMB, e.cfg.Limits.MaxFiles)
	if err := e.listen(e.controlApp, "control", e.cfg.Control, bounds, controlPart, failed); err != nil {
		return err
	}
	if err := e.listen(e.callerApp, "callers", e.cfg.Listen, bounds, callerPart, failed); err != nil {
		return err
	}
	defer e.cancel()
	for _, loop := range []func(context.Context){e.syncConfig, e.pollInstances, e.groups.run, e.gossip.run} {
		e.background.Go(func() { loop(e.ctx) })
	}
	e.log.Info("entry started", "listen", e.cfg.Listen, "control", e.cfg.Control, "domain", e.cfg.Domain)
	select {
	case err := <-failed:
		return errs.Wrap(err)
	case <-ctx.Done():
	}
	e.stop()
	e.peers.flush()
	e.cancel()
	e.background.Wait()
	_ = e.controlApp.ShutdownWithTimeout(time.Second)
	e.log.Info("entry stopped")
	return nil
}

// listen opens a listener and serves app on it; the error with which it ends is sent to failed.
func (e *Entry) listen(app *fiber.App, name, address string, bounds *accept.Bounds, part float64, failed chan<- error) error {
	ln, err := accept.Listen(accept.Config{
		Address:  address,
		Name:     name,
		MaxConns: bounds.MaxConns(part),
		Budget:   bounds.Budget(part),
		Clock:    e.clock,
		Log:      e.log,
	})
	if err != nil {
		return errs.Wrap(err)
	}
	ln.BindFast(app.Server())
	go func() {
		failed <- app.Listener(ln, fiber.ListenConfig{DisableStartupMessage: true})
	}()
	return nil
}

// stop closes the caller listener and waits until no request is in flight.
func (e *Entry) stop() {
	e.stopping.Store(true)
	e.log.Info("shutting down", "in_flight", e.inFlight.Load())
	e.clock.Sleep(shutdownDelay)
	if err := e.callerApp.ShutdownWithTimeout(shutdownTimeout); err != nil {
		e.log.Warn("caller listener did not shut down within its timeout", "error", err)
		check.Assert(check.GracefulStop, false, "%d requests still in flight when the shutdown timed out: %v", e.inFlight.Load(), err)
	}
	for e.inFlight.Load() > 0 {
		e.clock.Sleep(time.Millisecond)
	}
}

// globalSource draws from the global generator of math/rand/v2, which is safe for concurrent use.
type globalSource struct{}

// Uint64 implements rand.Source.
func (globalSource) Uint64() uint64 {
	return rand.Uint64()
}

func newRand() *rand.Rand {
	return rand.New(globalSource{})
}

// sinceStart returns the monotonic timestamp used as the send time of messages.
func (e *Entry) sinceStart() time.Duration {
	return e.clock.Since(e.startedAt)
}
