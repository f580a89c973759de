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

	"geraniumpass/check"
	"geraniumpass/config"
	"geraniumpass/meter"
	"geraniumpass/retry"
	"geraniumpass/setup"
	"geraniumpass/store"
	"geraniumpass/wire"
)

const (
	defaultLinks    = 96
	defaultBody     = 8 << 20
	defaultDeadline = 2 * time.Minute
	defaultRetains  = time.Hour
	stopTime        = 10 * time.Minute
	// stopNotice is how long a stopping entry goes on accepting while it tells callers and the balancer to go elsewhere.
	stopNotice  = 2 * time.Second
	headerBytes = 16 << 10
)

// Entry is the process between callers and agents.
type Entry struct {
	cfg   *setup.Entry
	log   hclog.Logger
	clock clockwork.Clock
	// begun is when this process started.
	begun  time.Time
	self   wire.Identity
	store  store.Store
	list   Lister
	config *config.Holder
	peers  *peers
	claims *claims
	change *changer
	budget *retry.Budget
	meter  *meter.Meter
	groups *leaders
	mates  *mates

	callers  *fiber.App
	control  *fiber.App
	requests atomic.Uint64
	open     atomic.Int64
	stopping atomic.Bool
	// seen is the newest revision of the configuration's key that was read.
	seen  atomic.Int64
	loops sync.WaitGroup
	// ctx ends when the last request has been answered and the background loops are to stop.
	ctx    context.Context
	cancel context.CancelFunc
}

// New builds an entry from what the injector provides: *setup.Entry, hclog.Logger, clockwork.Clock, store.Store and Lister.
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
		cfg:   cfg,
		log:   log.With("entry", cfg.ID),
		clock: clock,
		begun: clock.Now(),
		self: wire.Identity{
			ID:          cfg.ID,
			Role:        cfg.Role,
			Domain:      cfg.Domain,
			Incarnation: wire.NewIncarnation(),
		},
		store:  st,
		list:   list,
		config: config.NewHolder(clock),
		budget: retry.NewBudget(),
		meter:  meter.New(clock),
	}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	e.peers = newPeers(e)
	e.mates = newMates(e)
	e.claims = newClaims(st, clock, cfg.ClaimRetention.Duration)
	e.change = newChanger(st, clock, e.config)
	e.groups = newLeaders(e)
	return e, nil
}

func withDefaults(cfg *setup.Entry) {
	if cfg.MaxLinks == 0 {
		cfg.MaxLinks = defaultLinks
	}
	if cfg.MaxBody == 0 {
		cfg.MaxBody = defaultBody
	}
	if cfg.DefaultDeadline.Duration == 0 {
		cfg.DefaultDeadline.Duration = defaultDeadline
	}
	if cfg.ClaimRetention.Duration == 0 {
		cfg.ClaimRetention.Duration = defaultRetains
	}
}

// Run serves until ctx ends, then stops gracefully: it stops listening, finishes every request in flight and returns.
func (e *Entry) Run(ctx context.Context) error {
	e.callers = e.callerRoutes()
	e.control = e.controlRoutes()
	failed := make(chan error, 2)
	serve := func(app *fiber.App, address string) {
		failed <- app.Listen(address, fiber.ListenConfig{DisableStartupMessage: true})
	}
	go serve(e.control, e.cfg.Control)
	go serve(e.callers, e.cfg.Listen)
	defer e.cancel()
	for _, loop := range []func(context.Context){e.syncConfig, e.watchList, e.groups.run, e.mates.run} {
		e.loops.Go(func() { loop(e.ctx) })
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
	e.loops.Wait()
	_ = e.control.ShutdownWithTimeout(time.Second)
	e.log.Info("entry stopped")
	return nil
}

// stop lets everything in flight end before it returns.
func (e *Entry) stop() {
	e.stopping.Store(true)
	e.log.Info("stopping", "in_flight", e.open.Load())
	e.clock.Sleep(stopNotice)
	if err := e.callers.ShutdownWithTimeout(stopTime); err != nil {
		e.log.Warn("callers cut off", "error", err)
		check.Hold(check.GracefulStop, false, "%d requests were in flight at the end of a stop: %v", e.open.Load(), err)
	}
	for e.open.Load() > 0 {
		e.clock.Sleep(time.Millisecond)
	}
}

// sharedSource draws from the runtime's generator, which any goroutine may use.
type sharedSource struct{}

// Uint64 implements rand.Source.
func (sharedSource) Uint64() uint64 {
	return rand.Uint64()
}

func random() *rand.Rand {
	return rand.New(sharedSource{})
}

// sinceStart is the time on the steady clock that messages say they were sent at.
func (e *Entry) sinceStart() time.Duration {
	return e.clock.Since(e.begun)
}
