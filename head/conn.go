package head

import (
	"net"

	"geraniumpass/reset"
)

// Conn is a client's connection that checks the heads of the responses, and on which a reset is never read as the end of
// one.
type Conn struct {
	net.Conn

	reader *Reader
}

// NewConn returns a connection that checks nothing until Expect is called.
func NewConn(nc net.Conn) *Conn {
	conn := reset.NewConn(nc)
	return &Conn{
		Conn:   conn,
		reader: NewReader(conn),
	}
}

// NewUpgradeConn returns a connection on which only the response to a request for another protocol is checked.
func NewUpgradeConn(nc net.Conn) *Conn {
	c := NewConn(nc)
	c.reader.ExpectUpgrade()
	return c
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

// Cause returns the *MalformedError that ended the reading of a head, or else err. A library may report a part of the
// malformed line instead. A nil Conn, which was never opened, returns err.
func (c *Conn) Cause(err error) error {
	if c == nil || c.reader.Err() == nil {
		return err
	}
	return c.reader.Err()
}
