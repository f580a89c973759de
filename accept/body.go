package accept

import (
	"errors"
	"io"
)

const (
	// minBodyBytes and maxFirstBodyBytes bound the first buffer of a body, and bodyGrowth is the factor by
	// which a larger one grows.
	minBodyBytes      = 512
	maxFirstBodyBytes = 8 << 10
	bodyGrowth        = 4
)

// NoMemoryError reports that the process may hold no more bytes for its clients.
type NoMemoryError struct{}

// Error implements error.
func (*NoMemoryError) Error() string {
	return "no memory is left for a body"
}

// TooLargeError reports that a body exceeds its limit in bytes.
type TooLargeError struct {
	Limit int64
}

// Error implements error.
func (*TooLargeError) Error() string {
	return "the body exceeds its limit"
}

// ReadBody reads a body of up to limit bytes into a buffer that it charges to the connection as it grows.
// The length is negative if it is not known, and a limit of zero means none. It fails with a *NoMemoryError or a
// *TooLargeError.
func (c *Conn) ReadBody(from io.Reader, length, limit int64) ([]byte, error) {
	if limit > 0 && length > limit {
		return nil, &TooLargeError{Limit: limit}
	}
	most := length
	if length < 0 && limit > 0 {
		most = limit + 1
	}
	body := make([]byte, 0, firstSize(length))
	for {
		if int64(len(body)) == length {
			return body, nil
		}
		if len(body) == cap(body) {
			larger, err := c.grow(body, most)
			if err != nil {
				return nil, err
			}
			body = larger
		}
		n, err := from.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case limit > 0 && int64(len(body)) > limit:
			return nil, &TooLargeError{Limit: limit}
		case errors.Is(err, io.EOF) && length >= 0 && int64(len(body)) < length:
			return nil, io.ErrUnexpectedEOF
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, err
		}
	}
}

func firstSize(length int64) int64 {
	if length < 0 {
		return minBodyBytes
	}
	return min(length, maxFirstBodyBytes)
}

// grow returns a larger buffer with the same content, of up to most bytes if most is not negative.
func (c *Conn) grow(body []byte, most int64) ([]byte, error) {
	size := int64(cap(body)) * bodyGrowth
	if most >= 0 {
		size = min(size, most)
	}
	if !c.Take(size - int64(cap(body))) {
		return nil, &NoMemoryError{}
	}
	return append(make([]byte, 0, size), body...), nil
}
