package pool

import (
	"context"
	"errors"
	"syscall"
)

// Refuses returns true when nobody listens at a target any more, which tells that its process has ended. A connection that is opened to find
// out is kept for the next request; silence, as of a partition, tells nothing.
func (p *Pool) Refuses(ctx context.Context, t Target) bool {
	p.reserve(t, unbounded)
	nc, err := p.dialer.DialContext(ctx, "tcp4", t.Address)
	if err != nil {
		p.closed(t)
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	dialled.Add(1)
	p.newConn(nc, t).Keep(0)
	return false
}
