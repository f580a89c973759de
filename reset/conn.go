package reset

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// elapsedDeadline is a deadline that makes a pending write fail at once.
var elapsedDeadline = time.Unix(1, 0)

// Conn is a connection whose Read reports a reset, or another failure of the connection, whoever was told first. The
// kernel reports it once, to a write or a read, after which reads get the bytes received before it and then io.EOF.
type Conn struct {
	net.Conn

	// writing is held during a write.
	writing sync.Mutex
	mu      sync.Mutex
	err     error
}

// NewConn returns a connection that replaces nc.
func NewConn(nc net.Conn) *Conn {
	return &Conn{Conn: nc}
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	c.record(err)
	return n, err
}

// Read implements net.Conn. At the end of the received bytes it ends a pending write, because the connection is of no
// use to a client any more and the write may be about to report the failure.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !errors.Is(err, io.EOF) {
		c.record(err)
		return n, err
	}
	c.endWrite()
	if failure := c.failure(); failure != nil {
		return n, failure
	}
	return n, err
}

// endWrite returns once no write is pending.
func (c *Conn) endWrite() {
	if !c.writing.TryLock() {
		// A connection whose deadline can't be set is closed, which ends the write too.
		_ = c.SetWriteDeadline(elapsedDeadline)
		c.writing.Lock()
	}
	c.writing.Unlock()
}

func (c *Conn) record(err error) {
	if err == nil || !isFailure(err) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err == nil {
		c.err = err
	}
}

func (c *Conn) failure() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}

// isFailure reports whether err may end the received bytes early. EPIPE doesn't, because it means that the peer had
// ended its sending side in order before it reset the connection.
func isFailure(err error) bool {
	return !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, syscall.EPIPE)
}
