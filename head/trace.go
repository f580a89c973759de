package head

import (
	"context"
	"net/http/httptrace"
)

// Exchange is a request of an http.Transport whose connections are *Conn. The transport sends and receives at the same
// time, so that no write tells when a response is due.
type Exchange struct {
	conn *Conn
}

// WithTrace returns a context for a request on whose connection a response is expected.
func (e *Exchange) WithTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*Conn); ok {
				e.conn = c
				// A connection that can't be used fails its next read.
				_ = c.Expect()
			}
		},
	})
}

// Cause is like Conn.Cause for the connection of the request.
func (e *Exchange) Cause(err error) error {
	return e.conn.Cause(err)
}
