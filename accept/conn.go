package accept

import (
	"context"
	"io"
	"net"
	"sync"
	"time"
)

const (
	// freeBytes is what each connection may hold without taking it from the budget. The number of
	// connections is bounded accordingly.
	freeBytes = 8 << 10
	// stepBytes is the least that a connection takes from the budget at a time.
	stepBytes = 8 << 10
	// writeBytes is the largest part of an answer whose writing may take stallTime.
	writeBytes = 32 << 10
)

// Conn is a client's connection. Its own methods may be called on a nil Conn, which has no bounds.
type Conn struct {
	net.Conn
	tcp *net.TCPConn
	l   *Listener

	mu    sync.Mutex
	phase phase
	// since is when the phase began, or when the connection last made progress while it reads a body.
	since time.Time
	// writingSince is when the current write began, zero if there is none.
	writingSince time.Time
	// served is set once the connection had a whole request.
	served bool
	intake intake
	// charged is what the connection holds of the budget.
	charged int64
	closed  bool
}

type connKey struct{}

// FromContext returns the connection of a request of an http.Server, nil if it has none of this package.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// Read implements net.Conn. It fails with a *RefusedError once the client exceeds a bound, and with io.EOF from
// then on, since servers may read again after an error.
func (c *Conn) Read(p []byte) (int, error) {
	if c.isRefused() {
		return 0, io.EOF
	}
	n, err := c.tcp.Read(p)
	if n == 0 {
		return n, err
	}
	if refusal := c.received(p[:n]); refusal != nil {
		c.refuse(refusal)
		return 0, refusal
	}
	return n, err
}

// received counts received bytes and returns the refusal if they exceed a bound.
func (c *Conn) received(p []byte) *RefusedError {
	c.mu.Lock()
	switch c.phase {
	case phaseReading:
		c.since = c.l.now()
	case phaseWaiting, phaseHandshake:
		idle := !c.intake.started
		c.intake.add(p)
		if idle && c.intake.started {
			c.since = c.l.now()
		}
	}
	tracked := c.phase == phaseWaiting || c.phase == phaseHandshake
	head, cost, charged := c.intake.head, c.intake.cost(), c.charged
	c.mu.Unlock()
	if !tracked {
		return nil
	}
	if head > c.l.limits().headBytes() {
		return &RefusedError{Status: statusHeadTooLarge}
	}
	if want := cost - freeBytes - charged; want > 0 && !c.Take(max(want, stepBytes)) {
		return &RefusedError{Status: statusUnavailable}
	}
	return nil
}

// Take charges n bytes to the connection until its request has ended. It reports whether the process may hold
// them.
func (c *Conn) Take(n int64) bool {
	if c == nil {
		return true
	}
	c.mu.Lock()
	held := c.charged
	c.mu.Unlock()
	if !c.l.take(c, n, held) {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		c.l.budget.Give(n)
		return false
	}
	c.charged += n
	return true
}

// MarkRunning tells that the request has been received as a whole, so that the connection is kept.
func (c *Conn) MarkRunning() {
	c.enter(phaseRunning)
}

// MarkHandshake tells that the connection becomes a link whose peer has not authenticated itself yet.
func (c *Conn) MarkHandshake() {
	c.enter(phaseHandshake)
}

func (c *Conn) enter(p phase) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseRefused {
		return
	}
	c.phase = p
	c.since = c.l.now()
	switch p {
	case phaseWaiting, phaseHandshake:
		c.intake = intake{}
		c.release()
	case phaseRunning, phaseReading:
		c.served = true
	}
}

// release returns what the connection holds of the budget. The caller holds mu.
func (c *Conn) release() {
	c.l.budget.Give(c.charged)
	c.charged = 0
}

// CloseWrite closes the writing half of the connection.
func (c *Conn) CloseWrite() error {
	return c.tcp.CloseWrite()
}

// SetLinger sets what closing does with unsent bytes, as net.TCPConn does.
func (c *Conn) SetLinger(sec int) error {
	return c.tcp.SetLinger(sec)
}

// Write implements net.Conn. It writes in parts, so that a client that reads slowly makes progress.
func (c *Conn) Write(p []byte) (int, error) {
	if c.isRefused() {
		return 0, net.ErrClosed
	}
	written := 0
	for written < len(p) {
		c.setWriting(c.l.now())
		n, err := c.tcp.Write(p[written:min(len(p), written+writeBytes)])
		written += n
		if err != nil {
			c.setWriting(time.Time{})
			return written, err
		}
	}
	c.setWriting(time.Time{})
	return written, nil
}

func (c *Conn) setWriting(since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writingSince = since
}

// refuse answers a client that exceeds a bound. The connection stays open for a moment, since closing it
// with unread bytes could take the answer away.
func (c *Conn) refuse(e *RefusedError) {
	c.mu.Lock()
	plain := c.phase == phaseWaiting
	c.phase = phaseRefused
	c.since = c.l.now()
	c.mu.Unlock()
	refusals.Add(e.name(), 1)
	if plain {
		_ = c.SetWriteDeadline(time.Now().Add(refusalTime))
		_, _ = c.tcp.Write(e.answer())
	}
	_ = c.CloseWrite()
}

// Close implements net.Conn. A refused connection is closed later.
func (c *Conn) Close() error {
	if c.isRefused() {
		return nil
	}
	return c.discard()
}

func (c *Conn) isRefused() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase == phaseRefused && !c.closed
}

// discard closes the connection.
func (c *Conn) discard() error {
	c.mu.Lock()
	already := c.closed
	c.closed = true
	c.release()
	c.mu.Unlock()
	if !already {
		c.l.remove(c)
	}
	return c.tcp.Close()
}
