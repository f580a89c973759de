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
	i := newInjector(cfg.Log, cfg.Limits)
	do.ProvideValue(i, cfg)
	do.ProvideValue[store.Store](i, platform.NewStore(cfg.Platform.KeyValue))
	do.ProvideValue[entry.Lister](i, &entry.HTTPLister{Address: cfg.Platform.InstanceList})
	do.Provide(i, entry.New)
	e, err := do.Invoke[*entry.Entry](i)
	if err != nil {
		return errs.Wrap(err)
	}
	return runUntilSignal(e.Run)
}

// Agent runs the agent role with the settings in file until SIGTERM or SIGINT.
func Agent(file string) error {
	cfg := &setup.Agent{}
	if err := setup.Load(file, cfg); err != nil {
		return err
	}
	i := newInjector(cfg.Log, cfg.Limits)
	do.ProvideValue(i, cfg)
	do.ProvideValue[agent.Upstream](i, agent.NewHTTPUpstream(cfg.Upstream.Address))
	do.Provide(i, agent.New)
	a, err := do.Invoke[*agent.Agent](i)
	if err != nil {
		return errs.Wrap(err)
	}
	return runUntilSignal(a.Run)
}

// Check validates the settings file of any role and returns the role. It fails with a
// *setup.ValidationError if the settings are invalid.
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

func newInjector(cfg setup.Log, limits setup.Limits) do.Injector {
	check.ConfigureFromEnvironment()
	limitMemory(limits)
	return provide(cfg, hclog.DefaultOutput)
}

// provide registers the dependencies of every role: a clock and a log that writes to out.
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

// runUntilSignal runs fn with a context that is cancelled on SIGTERM or SIGINT.
func runUntilSignal(fn func(context.Context) error) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return fn(ctx)
}
