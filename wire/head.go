package wire

import (
	"fmt"
	"math"
	"net"
)

// maxHeadBytes limits what is read of the answer to the opening of a link.
const maxHeadBytes = 32 << 10

// HeadTooLargeError reports that a peer sent more bytes than the answer to the opening of a link may have.
type HeadTooLargeError struct {
	Limit int64
}

// Error returns a message with the limit in bytes.
func (e *HeadTooLargeError) Error() string {
	return fmt.Sprintf("answer to the opening of a link exceeds %d bytes", e.Limit)
}

// headLimit is a connection that reads at most maxHeadBytes until lift is called.
type headLimit struct {
	net.Conn
	left int64
}

func newHeadLimit(nc net.Conn) *headLimit {
	return &headLimit{
		Conn: nc,
		left: maxHeadBytes,
	}
}

// lift removes the limit. It must not run during a read.
func (h *headLimit) lift() {
	h.left = math.MaxInt64
}

// Read implements net.Conn.
func (h *headLimit) Read(p []byte) (int, error) {
	if h.left <= 0 {
		return 0, &HeadTooLargeError{Limit: maxHeadBytes}
	}
	n, err := h.Conn.Read(p[:min(int64(len(p)), h.left)])
	if h.left != math.MaxInt64 {
		h.left -= int64(n)
	}
	return n, err
}
