package head

import "net"

// Conn is a client's connection that checks the heads of the responses.
type Conn struct {
	net.Conn

	reader *Reader
}

// NewConn returns a connection that checks nothing until Expect is called.
func NewConn(nc net.Conn) *Conn {
	return &Conn{
		Conn:   nc,
		reader: NewReader(nc),
	}
}

// Expect expects the response to a request that is about to be sent. It fails with a *MalformedError if an earlier
// response was malformed.
func (c *Conn) Expect() error {
	return c.reader.Expect(nil)
}

// Read implements net.Conn. It fails with a *MalformedError.
func (c *Conn) Read(p []byte) (int, error) {
	return c.reader.Read(p)
}
