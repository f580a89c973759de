package pool

import (
	"context"
	"errors"
	"syscall"
)

// Refuses reports whether connections to a target are refused, because its process has terminated or
// a partition refuses them. A connection opened by the check is kept for reuse. A timeout is not a
// refusal.
func (p *Pool) Refuses(ctx context.Context, t Target) bool {
	return errors.Is(p.probe(ctx, t), syscall.ECONNREFUSED)
}

// Accepts reports whether a connection to a target can be opened, and keeps it for reuse.
func (p *Pool) Accepts(ctx context.Context, t Target) bool {
	return p.probe(ctx, t) == nil
}

func (p *Pool) probe(ctx context.Context, t Target) error {
	p.reserveSlot(t, unbounded)
	nc, err := p.dialer.DialContext(ctx, "tcp4", t.Address)
	if err != nil {
		p.releaseSlot(t)
		return err
	}
	connectionsOpened.Add(1)
	p.newConn(nc, t).Release(0)
	return nil
}
