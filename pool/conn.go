package pool

import (
	"bufio"
	"net"
	"syscall"
	"time"
)

// Conn is a connection to one instance.
type Conn struct {
	net.Conn
	Reader *bufio.Reader
	// Reused is true when the connection has carried a request before.
	Reused bool
	// Opened is when the connection was opened.
	Opened time.Time

	target  Target
	expires time.Time
	pool    *Pool
}

// quiet returns true when nothing has arrived on an idle connection, neither bytes that nobody asked for nor its end.
func (c *Conn) quiet() bool {
	if c.Reader.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, readErr := syscall.Read(int(fd), b[:])
		quiet = readErr == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}

// Discard closes the connection.
func (c *Conn) Discard() {
	_ = c.Close()
	c.pool.closed(c.target)
}

// Abort closes the connection with a reset, so that what it still carries is dropped: a request whose caller has left must not reach
// an instance that comes back to life later.
func (c *Conn) Abort() {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		// It fails only on a connection that is closed already.
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// Keep gives the connection back for the next request; idle is how long the instance keeps it open, zero when it didn't say.
func (c *Conn) Keep(idle time.Duration) {
	c.pool.put(c, idle)
}
