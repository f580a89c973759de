package start

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/samber/do/v2"
	"github.com/zeebo/errs/v2"

	"geraniumpass/agent"
	"geraniumpass/check"
	"geraniumpass/entry"
	"geraniumpass/platform"
	"geraniumpass/setup"
	"geraniumpass/store"
)

// Entry runs the entry role with the settings in file until SIGTERM or SIGINT.
func Entry(file string) error {
	cfg := &setup.Entry{}
	if err := setup.Load(file, cfg); err != nil {
		return err
	}
	i := base(cfg.Log)
	do.ProvideValue(i, cfg)
	do.ProvideValue[store.Store](i, platform.NewStore(cfg.Platform.KeyValue))
	do.ProvideValue[entry.Lister](i, &entry.HTTPLister{Address: cfg.Platform.InstanceList})
	do.Provide(i, entry.New)
	e, err := do.Invoke[*entry.Entry](i)
	if err != nil {
		return errs.Wrap(err)
	}
	return run(e.Run)
}

// Agent runs the agent role with the settings in file until SIGTERM or SIGINT.
func Agent(file string) error {
	cfg := &setup.Agent{}
	if err := setup.Load(file, cfg); err != nil {
		return err
	}
	i := base(cfg.Log)
	do.ProvideValue(i, cfg)
	do.ProvideValue[agent.Upstream](i, agent.NewHTTPUpstream(cfg.Upstream.Address))
	do.Provide(i, agent.New)
	a, err := do.Invoke[*agent.Agent](i)
	if err != nil {
		return errs.Wrap(err)
	}
	return run(a.Run)
}

// Check validates a settings file of any role and returns its role, or a *setup.Report.
func Check(file string) (string, error) {
	role, err := setup.Role(file)
	if err != nil {
		return "", err
	}
	settings := map[string]any{
		"entry":   &setup.Entry{},
		"agent":   &setup.Agent{},
		"gateway": &setup.Gateway{},
		"sidecar": &setup.Sidecar{},
	}
	return role, setup.Load(file, settings[role])
}

func base(cfg setup.Log) do.Injector {
	check.ConfigureFromEnvironment()
	return provide(cfg, hclog.DefaultOutput)
}

// provide provides what every role needs: a clock, and a log that is written to out.
func provide(cfg setup.Log, out io.Writer) do.Injector {
	i := do.New()
	do.ProvideValue[clockwork.Clock](i, clockwork.NewRealClock())
	do.ProvideValue(i, hclog.New(&hclog.LoggerOptions{
		Name:       "geraniumpass",
		Level:      hclog.LevelFromString(level(cfg)),
		JSONFormat: cfg.JSON,
		Output:     out,
	}))
	return i
}

func level(cfg setup.Log) string {
	if cfg.Level == "" {
		return "info"
	}
	return cfg.Level
}

func run(fn func(context.Context) error) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return fn(ctx)
}
