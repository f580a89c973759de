package pool

import (
	"context"
	"errors"
	"syscall"
)

// Refuses returns true when connections to a target are refused: its process has ended, or a partition refuses in its place. A connection
// that is opened to find out is kept for the next request; silence tells nothing.
func (p *Pool) Refuses(ctx context.Context, t Target) bool {
	return errors.Is(p.probe(ctx, t), syscall.ECONNREFUSED)
}

// Accepts returns true when a connection to a target can be opened; it is kept for the next request.
func (p *Pool) Accepts(ctx context.Context, t Target) bool {
	return p.probe(ctx, t) == nil
}

func (p *Pool) probe(ctx context.Context, t Target) error {
	p.reserve(t, unbounded)
	nc, err := p.dialer.DialContext(ctx, "tcp4", t.Address)
	if err != nil {
		p.closed(t)
		return err
	}
	dialled.Add(1)
	p.newConn(nc, t).Keep(0)
	return nil
}
