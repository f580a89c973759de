package pool

import (
	"io"
	"math"
)

// unlimited disables the limit of bytes read from a connection.
const unlimited = math.MaxInt64

// ReadLimitError reports that a peer sent more bytes than LimitReads allows.
type ReadLimitError struct{}

// Error returns a fixed message.
func (*ReadLimitError) Error() string {
	return "peer sent more bytes than the read limit allows"
}

// limitedReader reads up to a number of bytes that can be changed between reads.
type limitedReader struct {
	from io.Reader
	left int64
}

// Read implements io.Reader.
func (l *limitedReader) Read(p []byte) (int, error) {
	if l.left <= 0 {
		return 0, &ReadLimitError{}
	}
	if int64(len(p)) > l.left {
		p = p[:l.left]
	}
	n, err := l.from.Read(p)
	if l.left != unlimited {
		l.left -= int64(n)
	}
	return n, err
}
