package start

import (
	"context"
	"time"
)

// registerRetryInterval is the interval between attempts to register in the member list.
const registerRetryInterval = time.Second

// register adds this process to the member list, through which peers discover it, and retries until
// it succeeds.
func (g *gateway) register(ctx context.Context) {
	g.repeat(ctx, g.source.Register)
}

// renew registers again if the store lacks the entry of this process, and retries until it succeeds.
func (g *gateway) renew(ctx context.Context) {
	g.repeat(ctx, g.source.Renew)
}

// repeat calls write until it succeeds.
func (g *gateway) repeat(ctx context.Context, write func(ctx context.Context, name, address string) error) {
	t := g.clock.NewTicker(registerRetryInterval)
	defer t.Stop()
	for {
		err := write(ctx, g.cfg.ID, g.cfg.Control)
		if err == nil || ctx.Err() != nil {
			return
		}
		g.log.Warn("failed to register in the member list; retrying", "error", err)
		select {
		case <-ctx.Done():
		case <-t.Chan():
		}
	}
}

// keepRegistered registers this process, and again whenever the store was restored from a copy, which may
// lack the entry. What this process has published is then written again as well.
func (g *gateway) keepRegistered(ctx context.Context) {
	g.register(ctx)
	w := &rewriter{
		cache:  g.cache,
		log:    g.log,
		spread: rewriteSpread,
		tasks:  []func(ctx context.Context){g.renew, g.republish},
	}
	w.run(ctx, g.source.Era())
}

// republish has the publisher write again.
func (g *gateway) republish(context.Context) {
	select {
	case g.lost <- struct{}{}:
	default:
		// It hasn't yet begun to write since the last time.
	}
}
