package head

import (
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

// HideContents keeps the bytes of a response out of the errors of a fasthttp.Client, as its ConfigureClient. They may be
// many, and not printable.
func HideContents(c *fasthttp.HostClient) error {
	c.SecureErrorLogMessage = true
	return nil
}

// DialTimeout opens a connection for a fasthttp.Client, which sends a whole request before it reads the response. A zero
// timeout stands for that of fasthttp.Dial.
func DialTimeout(address string, timeout time.Duration) (net.Conn, error) {
	nc, err := dial(address, timeout)
	if err != nil {
		return nil, err
	}
	return &exchangeConn{Conn: NewConn(nc)}, nil
}

func dial(address string, timeout time.Duration) (net.Conn, error) {
	if timeout > 0 {
		return fasthttp.DialTimeout(address, timeout)
	}
	return fasthttp.Dial(address)
}

// exchangeConn expects a response to whatever is written.
type exchangeConn struct {
	*Conn
}

// Write implements net.Conn.
func (c *exchangeConn) Write(p []byte) (int, error) {
	if err := c.Expect(); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}
