package pool

import (
	"bufio"
	"net"
	"net/http"
	"syscall"
	"time"

	"geraniumpass/head"
	"geraniumpass/reset"
)

// Conn is a connection to one instance.
type Conn struct {
	*reset.Conn

	Reader *bufio.Reader
	// Reused reports whether the connection has carried a request before.
	Reused bool
	// Opened is when the connection was opened.
	Opened time.Time

	raw     net.Conn
	source  *limitedReader
	heads   *head.Reader
	target  Target
	expires time.Time
	pool    *Pool
}

// LimitReads bounds the bytes that Reader may still read from the network. Beyond the limit it returns
// a *ReadLimitError.
func (c *Conn) LimitReads(limit int64) {
	c.source.left = limit
}

// UnlimitReads removes the bound of LimitReads.
func (c *Conn) UnlimitReads() {
	c.source.left = unlimited
}

// ReadHead reads the head of a response to req. It fails with a *head.MalformedError if that isn't valid HTTP/1, and
// then no more can be read.
func (c *Conn) ReadHead(req *http.Request) (*http.Response, error) {
	received, err := c.Reader.Peek(c.Reader.Buffered())
	if err != nil {
		return nil, err
	}
	if err := c.heads.Expect(received); err != nil {
		return nil, err
	}
	resp, err := http.ReadResponse(c.Reader, req)
	if malformed := c.heads.Err(); err != nil && malformed != nil {
		return nil, malformed
	}
	return resp, err
}

// isReusable reports whether an idle connection is still open and has received no unsolicited data.
func (c *Conn) isReusable() bool {
	if c.Reader.Buffered() > 0 {
		return false
	}
	sc, ok := c.raw.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, readErr := syscall.Read(int(fd), b[:])
		empty = readErr == syscall.EAGAIN
		return true
	})
	return err == nil && empty
}

// Discard closes the connection, which then no longer counts towards the limit of its target.
func (c *Conn) Discard() {
	_ = c.Close()
	c.pool.releaseSlot(c.target)
}

// Abort closes the connection with a reset, which drops unsent data. Otherwise a frozen instance
// could still receive the request of a caller that has disconnected once it resumes.
func (c *Conn) Abort() {
	if t, ok := c.raw.(*net.TCPConn); ok {
		// SetLinger fails only on a closed connection.
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// Release returns the connection to the pool; idle is how long the instance keeps it open, zero if
// unknown.
func (c *Conn) Release(idle time.Duration) {
	c.pool.putIdle(c, idle)
}
