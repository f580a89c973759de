package start

import (
	"context"

	"geraniumpass/feed"
)

// runFeeder receives the loads of the groups until ctx ends, if the port of the agents is known.
func (g *gateway) runFeeder(ctx context.Context) {
	if !g.cfg.HasAgents() {
		g.log.Info("no agent port is set, loads of groups stay unknown")
		return
	}
	f := &feed.Feeder{
		Self:   g.identity,
		Key:    []byte(g.cfg.LinkKey),
		View:   g.cache,
		Board:  g.groups,
		Port:   g.cfg.AgentPort,
		Domain: g.cfg.Domain,
		Clock:  g.clock,
		Log:    g.log.Named("feed"),
	}
	f.Run(ctx)
}
