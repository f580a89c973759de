package start

import (
	"context"
	"net"
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
	// memoryShare is the part of a machine's memory that the runtime may fill before it collects in earnest.
	memoryShare = 0.7
	// sweepEvery is how often what belongs to ended instances is forgotten.
	sweepEvery = time.Second
	// headTimeout bounds the time for a request's head, idleTimeout that of an idle connection, above any that the platform states.
	headTimeout = 10 * time.Second
	idleTimeout = 5 * time.Minute
	// maxHead bounds a request's head in bytes, above what the platform's callers keep to.
	maxHead = 64 << 10
	// unlisted is how long the platform may go on sending new connections after readiness ended: two of its questions a second apart, and some.
	unlisted = 2500 * time.Millisecond
	// stopReserve is kept of the grace to end by ourselves before the platform kills the process.
	stopReserve = 200 * time.Millisecond
	// joinEvery is how often the own entry in the list of members is tried until it stands.
	joinEvery = time.Second
)

// Gateway runs the gateway role with the settings in file until SIGTERM or SIGINT.
func Gateway(file string) error {
	cfg := &setup.Gateway{}
	if err := setup.Load(file, cfg); err != nil {
		return err
	}
	i, closeLog := process(cfg.Log, cfg.Limits)
	defer closeLog()
	do.ProvideValue(i, cfg)
	return newGateway(i).run()
}

// process provides what every role of the platform needs: clock, log, memory limit.
func process(l setup.Log, limits setup.Limits) (do.Injector, func()) {
	check.ConfigureFromEnvironment()
	if limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(limits.MemoryMB<<20) * memoryShare))
	}
	w := logio.New(os.Stdout)
	return provide(l, w), w.Close
}

// gateway is a running gateway role.
type gateway struct {
	cfg     *setup.Gateway
	log     hclog.Logger
	clock   clockwork.Clock
	keeper  *view.Cache
	source  *platform.Source
	ends    *crash.Registry
	quotas  *quota.Registry
	leaving *leave.Registry
	writer  *crash.Publisher
	gate    *gate.Gate
	own     wire.Identity
	front   *http.Server
	ready   *http.Server
	links   *fasthttp.Server
	// stopping is closed when SIGTERM came.
	stopping chan struct{}
}

func newGateway(i do.Injector) *gateway {
	cfg := do.MustInvoke[*setup.Gateway](i)
	log := do.MustInvoke[hclog.Logger](i)
	clock := do.MustInvoke[clockwork.Clock](i)
	keeper := view.NewCache(cfg.ID, clock, log.Named("view"))
	counts := meter.New(clock)
	st := platform.NewStore(cfg.Store)
	ends := crash.New(clock, log.Named("crash"))
	leaving := leave.New(clock, log.Named("leave"))
	quotas := quota.New(cfg.ID, clock, log.Named("quota"))
	source := platform.NewSource(st, log.Named("store"))
	source.MergeEndsInto(ends)
	g := &gateway{
		cfg:     cfg,
		log:     log,
		clock:   clock,
		keeper:  keeper,
		source:  source,
		ends:    ends,
		quotas:  quotas,
		leaving: leaving,
		writer: &crash.Publisher{
			Registry: ends,
			Store:    st,
			Key:      platform.EndsKey(cfg.ID),
			Log:      log.Named("crash"),
		},
		gate: gate.New(gate.Options{
			Name:   cfg.ID,
			Domain: cfg.Domain,
			Allowance: retry.Allowance{
				Ratio:  cfg.Repeat.Ratio,
				Slack:  cfg.Repeat.Slack,
				Window: cfg.Repeat.Window.Duration,
			},
			Started: clock.Now(),
			Key:     []byte(cfg.LinkKey),
			Crashes: ends,
			Quotas:  quotas,
			Leaving: leaving,
		}, clock, log.Named("gate"), keeper, platform.Dialect{}, counts),
		own: wire.Identity{
			ID:          cfg.ID,
			Role:        wire.RoleEntry,
			Domain:      cfg.Domain,
			Incarnation: wire.NewIncarnation(),
		},
		stopping: make(chan struct{}),
	}
	g.front = &http.Server{
		Handler:           g.gate,
		ReadHeaderTimeout: headTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHead,
		ErrorLog:          log.Named("http").StandardLogger(&hclog.StandardLoggerOptions{}),
	}
	g.ready = &http.Server{
		Handler:           g.readyMux(counts),
		ReadHeaderTimeout: headTimeout,
	}
	server := &peer.Server{
		View:         keeper,
		Terminations: ends,
		Quotas:       quotas,
		Leaving:      leaving,
	}
	g.links = &fasthttp.Server{
		Handler: func(ctx *fasthttp.RequestCtx) {
			err := wire.Accept(ctx, g.own, []byte(cfg.LinkKey), server.Serve)
			if err != nil {
				log.Warn("link refused", "error", err)
			}
		},
	}
	return g
}

// answerReady tells the platform whether this entry takes new connections: once it has a table, until it stops.
func (g *gateway) answerReady(w http.ResponseWriter, _ *http.Request) {
	select {
	case <-g.stopping:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	default:
	}
	if g.keeper.Now().Table == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (g *gateway) run() error {
	g.log.Info("start", "id", g.cfg.ID, "domain", g.cfg.Domain, "listen", g.cfg.Listen)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	failed := make(chan error, 3)
	for _, s := range []struct {
		address string
		serve   func(net.Listener) error
	}{
		{g.cfg.Listen, g.front.Serve},
		{g.cfg.Ready, g.ready.Serve},
		{g.cfg.Control, g.links.Serve},
	} {
		ln, err := net.Listen("tcp4", s.address)
		if err != nil {
			return errs.Wrap(err)
		}
		go func() { failed <- s.serve(ln) }()
	}
	go g.keeper.Run(ctx, g.source)
	go g.join(ctx)
	go (&peer.Poller{
		Self:         g.own,
		Key:          []byte(g.cfg.LinkKey),
		Seeds:        g.cfg.Seeds,
		View:         g.keeper,
		Terminations: g.ends,
		Quotas:       g.quotas,
		Leaving:      g.leaving,
		Log:          g.log.Named("peer"),
	}).Run(ctx)
	go g.writer.Run(ctx)
	go g.sweep(ctx)
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

// reload reads the settings again; nothing in them may change while the process runs, so that they are only checked.
func (g *gateway) reload() {
	err := setup.Load(os.Getenv(SettingsVariable), &setup.Gateway{})
	g.log.Info("settings read again", "error", err)
}

func (g *gateway) sweep(ctx context.Context) {
	t := g.clock.NewTicker(sweepEvery)
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

// join writes the own entry in the list of members, through which peers find this process.
func (g *gateway) join(ctx context.Context) {
	t := g.clock.NewTicker(joinEvery)
	defer t.Stop()
	for {
		err := g.source.Register(ctx, g.cfg.ID, g.cfg.Control)
		if err == nil || ctx.Err() != nil {
			return
		}
		g.log.Warn("not in the list of members yet", "error", err)
		select {
		case <-ctx.Done():
		case <-t.Chan():
		}
	}
}

// stop lets the platform take this entry out of rotation, then closes its listener and idle connections, and ends once nothing is in
// flight: a request taken later could not be sure to end within the grace.
func (g *gateway) stop() error {
	started := g.clock.Now()
	g.log.Info("stop", "in_flight", g.gate.InFlight())
	close(g.stopping)
	g.gate.Drain()
	g.clock.Sleep(min(unlisted, g.cfg.Grace.Duration/4))
	ctx, cancel := context.WithTimeout(context.Background(), g.cfg.Grace.Duration-g.clock.Since(started)-stopReserve)
	defer cancel()
	err := g.front.Shutdown(ctx)
	check.Assert(check.GracefulStop, err != nil || g.gate.InFlight() == 0, "%d requests in flight", g.gate.InFlight())
	g.log.Info("stopped", "after", g.clock.Since(started).String(), "in_flight", g.gate.InFlight(), "error", err)
	return nil
}
