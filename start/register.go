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
	t := g.clock.NewTicker(registerRetryInterval)
	defer t.Stop()
	for {
		err := g.source.Register(ctx, g.cfg.ID, g.cfg.Control)
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
