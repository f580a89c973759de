package start

import (
	"context"
	"math"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/samber/do/v2"
	"github.com/valyala/fasthttp"
	"github.com/zeebo/errs/v2"

	"geraniumpass/check"
	"geraniumpass/crash"
	"geraniumpass/gate"
	"geraniumpass/leave"
	"geraniumpass/loads"
	"geraniumpass/logio"
	"geraniumpass/meter"
	"geraniumpass/peer"
	"geraniumpass/platform"
	"geraniumpass/quota"
	"geraniumpass/retry"
	"geraniumpass/setup"
	"geraniumpass/view"
	"geraniumpass/wire"
)

const (
	// memoryLimitRatio is the fraction of the machine's memory used as the soft memory limit of the
	// Go runtime, above which garbage is collected more often. The program itself and the buffers of its
	// connections come on top.
	memoryLimitRatio = 0.6
	// sweepInterval is the interval at which state of terminated instances is evicted.
	sweepInterval = time.Second
	// checkTimeout bounds the reading of a readiness check.
	checkTimeout = 10 * time.Second
	// deregistrationDelay is how long the platform may keep sending new connections after readiness
	// ends: two readiness checks one second apart, plus a margin.
	deregistrationDelay = 2500 * time.Millisecond
	// shutdownReserve is the part of the grace period left unused, so that the process exits before
	// the platform kills it.
	shutdownReserve = 200 * time.Millisecond
	// answerReserve is the part of the grace period before that in which final answers reach their callers.
	answerReserve = 200 * time.Millisecond
)

// Gateway runs the gateway role with the settings in file until SIGTERM or SIGINT.
func Gateway(file string) error {
	cfg := &setup.Gateway{}
	if err := setup.Load(file, cfg); err != nil {
		return err
	}
	i, closeLog := newProcess(cfg.Log, cfg.Limits)
	defer closeLog()
	do.ProvideValue(i, cfg)
	return newGateway(i).run()
}

// newProcess sets the memory limit and provides the clock and the log of a platform role. The
// returned function closes the log.
func newProcess(l setup.Log, limits setup.Limits) (do.Injector, func()) {
	check.ConfigureFromEnvironment()
	limitMemory(limits)
	w := logio.New(os.Stdout)
	return provide(l, w), w.Close
}

// limitMemory sets the soft memory limit of the Go runtime, if the settings state the memory.
func limitMemory(limits setup.Limits) {
	if limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(limits.MemoryMB<<20) * memoryLimitRatio))
	}
}

// gateway is a running gateway role.
type gateway struct {
	cfg       *setup.Gateway
	log       hclog.Logger
	clock     clockwork.Clock
	cache     *view.Cache
	source    *platform.Source
	crashes   *crash.Registry
	quotas    *quota.Registry
	leaving   *leave.Registry
	groups    *loads.Board
	publisher *crash.Publisher
	// lost tells the publisher that the store may have lost what it has written.
	lost        chan struct{}
	gate        *gate.Gate
	identity    wire.Identity
	frontServer *http.Server
	readyServer *http.Server
	linkServer  *fasthttp.Server
	// stopping is closed when the process begins to stop.
	stopping chan struct{}
}

func newGateway(i do.Injector) *gateway {
	cfg := do.MustInvoke[*setup.Gateway](i)
	log := do.MustInvoke[hclog.Logger](i)
	clock := do.MustInvoke[clockwork.Clock](i)
	cache := view.NewCache(cfg.ID, clock, log.Named("view"))
	if bound := cfg.StalenessBound(); bound > 0 {
		cache.SetBound(bound)
	}
	cache.SetPeerWait(peerWait(cfg))
	counts := meter.New(clock)
	st := platform.NewStore(cfg.Store)
	st.SetNotice(func(rev int64) { cache.Notice(rev, 0, view.Origin{Via: view.ViaWrite}) })
	crashes := crash.New(clock, log.Named("crash"))
	leaving := leave.New(clock, log.Named("leave"))
	quotas := quota.New(cfg.ID, clock, log.Named("quota"))
	source := platform.NewSource(st, log.Named("store"))
	source.SetTerminationSink(crashes)
	groups := loads.NewBoard(clock)
	lost := make(chan struct{}, 1)
	g := &gateway{
		lost:    lost,
		cfg:     cfg,
		log:     log,
		clock:   clock,
		cache:   cache,
		source:  source,
		crashes: crashes,
		quotas:  quotas,
		leaving: leaving,
		groups:  groups,
		publisher: &crash.Publisher{
			Registry: crashes,
			Store:    st,
			Key:      platform.TerminationsKey(cfg.ID),
			Lost:     lost,
			Log:      log.Named("crash"),
		},
		gate: gate.New(gate.Options{
			Name:   cfg.ID,
			Domain: cfg.Domain,
			Allowance: retry.Allowance{
				Ratio:  cfg.RetryBudget.Ratio,
				Slack:  cfg.RetryBudget.Slack,
				Window: cfg.RetryBudget.Window.Duration,
			},
			Shed: gate.ShedMode(cfg.Shed),
			Cold: gate.ColdAllowance{
				Overage: cfg.Cold.Overage,
				Slack:   cfg.Cold.Slack,
			},
			Started: clock.Now(),
			Key:     []byte(cfg.LinkKey),
			Crashes: crashes,
			Quotas:  quotas,
			Leaving: leaving,
			Groups:  groups,
		}, clock, log.Named("gate"), cache, platform.Dialect{}, counts),
		identity: wire.Identity{
			ID:          cfg.ID,
			Role:        wire.RoleEntry,
			Domain:      cfg.Domain,
			Incarnation: wire.NewIncarnation(),
		},
		stopping: make(chan struct{}),
	}
	// The listeners bound heads and idle connections by the limits in force.
	g.frontServer = &http.Server{
		Handler:        g.gate,
		MaxHeaderBytes: math.MaxInt32,
		ErrorLog:       log.Named("http").StandardLogger(&hclog.StandardLoggerOptions{}),
	}
	allowAnyFields(g.frontServer)
	g.readyServer = &http.Server{
		Handler:     g.readyMux(counts),
		ReadTimeout: checkTimeout,
		ErrorLog:    log.Named("http").StandardLogger(&hclog.StandardLoggerOptions{}),
	}
	server := &peer.Server{
		View:         cache,
		Terminations: crashes,
		Quotas:       quotas,
		Leaving:      leaving,
	}
	g.linkServer = &fasthttp.Server{
		MaxRequestBodySize: maxLinkBodyBytes,
		Handler: func(ctx *fasthttp.RequestCtx) {
			err := wire.Accept(ctx, g.identity, []byte(cfg.LinkKey), server.Serve)
			if err != nil {
				log.Warn("link refused", "error", err)
			}
		},
	}
	return g
}

func (g *gateway) run() error {
	g.log.Info("start", "id", g.cfg.ID, "domain", g.cfg.Domain, "listen", g.cfg.Listen)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	failed := make(chan error, 3)
	if err := g.serve(failed); err != nil {
		return err
	}
	served.Store(g.cache)
	go g.cache.Run(ctx, g.source)
	go g.keepRegistered(ctx)
	go (&peer.Poller{
		Self:         g.identity,
		Key:          []byte(g.cfg.LinkKey),
		Seeds:        g.cfg.Seeds,
		View:         g.cache,
		Terminations: g.crashes,
		Observations: g.crashes,
		Quotas:       g.quotas,
		Leaving:      g.leaving,
		Log:          g.log.Named("peer"),
	}).Run(ctx)
	go g.runFeeder(ctx)
	go g.gate.RunRelocation(ctx)
	go g.publisher.Run(ctx)
	go g.runSweep(ctx)
	for {
		select {
		case err := <-failed:
			return errs.Wrap(err)
		case s := <-signals:
			if s != syscall.SIGHUP {
				return g.stop()
			}
			g.reload()
		}
	}
}

// reload validates the settings file. The running process keeps its settings, since none of them
// may change at run time.
func (g *gateway) reload() {
	err := setup.Load(os.Getenv(SettingsVariable), &setup.Gateway{})
	g.log.Info("settings file checked on SIGHUP", "error", err)
}

func (g *gateway) runSweep(ctx context.Context) {
	t := g.clock.NewTicker(sweepInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.Chan():
			g.gate.Sweep()
		}
	}
}

// stop fails readiness, waits for the platform to remove this entry from rotation, closes the
// listener and idle connections, and returns once no request is in flight or the grace period is
// nearly over. Meanwhile the gate refuses requests whose answers are not expected within the grace period.
func (g *gateway) stop() error {
	started := g.clock.Now()
	close(g.stopping)
	g.gate.Drain(started.Add(g.cfg.Grace.Duration - shutdownReserve - answerReserve))
	g.log.Info("stop", "in_flight", g.gate.InFlight())
	g.clock.Sleep(min(deregistrationDelay, g.cfg.Grace.Duration/4))
	ctx, cancel := context.WithTimeout(context.Background(), g.cfg.Grace.Duration-g.clock.Since(started)-shutdownReserve)
	defer cancel()
	err := g.frontServer.Shutdown(ctx)
	check.Assert(check.GracefulStop, err != nil || g.gate.InFlight() == 0, "%d requests in flight", g.gate.InFlight())
	g.log.Info("stopped", "after", g.clock.Since(started).String(), "in_flight", g.gate.InFlight(), "error", err)
	return nil
}
