package start

import (
	"context"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/samber/do/v2"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/expvarhandler"
	"github.com/zeebo/errs/v2"

	"geraniumpass/accept"
	"geraniumpass/group"
	"geraniumpass/place"
	"geraniumpass/platform"
	"geraniumpass/setup"
	"geraniumpass/wire"
)

const (
	// maxLinkBodyBytes bounds the body of a request to open a link, which has none.
	maxLinkBodyBytes = 1
	// onlyListener is the part of the connections of a process with one listener.
	onlyListener = 1.0
)

// rebalanceBudget allows one expert copy per rank and map switch. A copy takes about 400 ms, a rank
// copies one expert at a time, and expert popularity changes within seconds, so many small switches
// are better than a few large ones.
var rebalanceBudget = place.Budget{
	PerRank: 1,
	MinGain: 0.012,
}

// Sidecar runs the sidecar role with the settings in file until SIGTERM or SIGINT.
func Sidecar(file string) error {
	cfg := &setup.Sidecar{}
	if err := setup.Load(file, cfg); err != nil {
		return err
	}
	i, closeLog := newProcess(cfg.Log, cfg.Limits)
	defer closeLog()
	log := do.MustInvoke[hclog.Logger](i)
	clock := do.MustInvoke[clockwork.Clock](i)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	_, port, err := net.SplitHostPort(cfg.Listen)
	if err != nil {
		return errs.Wrap(err)
	}
	agent := group.NewAgent(platform.NewEngine(cfg.Upstream), clock, log.Named("rank"))
	st := platform.NewStore(cfg.Store)
	member := &group.Member{
		Agent:  agent,
		Store:  st,
		Source: platform.NewSource(st, log.Named("store")),
		Own: wire.Identity{
			ID:          cfg.ID,
			Role:        wire.RoleAgent,
			Domain:      cfg.Domain,
			Incarnation: wire.NewIncarnation(),
		},
		Key:     []byte(cfg.LinkKey),
		Clock:   clock,
		Log:     log.Named("group"),
		Service: cfg.Service,
		Prefix:  platform.LeaderPrefix,
		Port:    port,
		Budget:  rebalanceBudget,

		SlowPrefix: platform.PacePrefix,
	}
	links := &fasthttp.Server{
		MaxRequestBodySize: maxLinkBodyBytes,
		Handler:            sidecarHandler(member, log),
	}
	bounds := accept.NewBounds(cfg.Limits.MemoryMB, cfg.Limits.MaxFiles)
	ln, err := accept.Listen(accept.Config{
		Address:  cfg.Listen,
		Name:     "links",
		MaxConns: bounds.MaxConns(onlyListener),
		Budget:   bounds.Budget(onlyListener),
		Clock:    clock,
		Log:      log.Named("listen"),
	})
	if err != nil {
		return errs.Wrap(err)
	}
	ln.BindFast(links)
	failed := make(chan error, 1)
	go func() { failed <- links.Serve(ln) }()
	go agent.Run(ctx)
	go member.Elect(ctx)
	log.Info("start", "id", cfg.ID, "domain", cfg.Domain, "upstream", cfg.Upstream)
	if err := waitForStop(failed, log); err != nil {
		return err
	}
	stopMember(member, cfg.StopTime()-shutdownReserve, log)
	return nil
}

// stopMember waits until the rank may leave its group, for at most the given time.
func stopMember(m *group.Member, limit time.Duration, log hclog.Logger) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	started := m.Clock.Now()
	m.Stop(ctx)
	log.Info("stopped", "after", m.Clock.Since(started).String(), "error", ctx.Err())
}

// sidecarHandler accepts links and serves the counters.
func sidecarHandler(m *group.Member, log hclog.Logger) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		if string(ctx.Path()) == countersPath {
			expvarhandler.ExpvarHandler(ctx)
			return
		}
		if err := wire.Accept(ctx, m.Own, m.Key, m.Agent.Serve); err != nil {
			log.Warn("link refused", "error", err)
		}
	}
}

// waitForStop returns nil on SIGTERM or SIGINT, or the error of a failed server.
func waitForStop(failed <-chan error, log hclog.Logger) error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	for {
		select {
		case err := <-failed:
			return errs.Wrap(err)
		case s := <-signals:
			if s == syscall.SIGHUP {
				log.Info("SIGHUP ignored; settings are read only at startup")
				continue
			}
			log.Info("stop")
			return nil
		}
	}
}
