package head

import (
	"io"
	"sync"
)

// Reader checks the heads among the bytes that it reads. Expect may be called while a Read blocks.
type Reader struct {
	from io.Reader

	mu      sync.Mutex
	checker Checker
	err     error
}

// NewReader returns a Reader that checks nothing until Expect is called.
func NewReader(from io.Reader) *Reader {
	return &Reader{from: from}
}

// Expect expects a head, which begins with the given bytes that have been read already. It fails with a
// *MalformedError, also if an earlier head was malformed.
func (r *Reader) Expect(received []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.err != nil {
		return r.err
	}
	r.checker.Begin()
	_, r.err = r.checker.Check(received)
	return r.err
}

// ExpectUpgrade expects the head of the response to a request for another protocol.
func (r *Reader) ExpectUpgrade() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.checker.Upgrade = true
	r.checker.Begin()
}

// Read implements io.Reader. The end of a malformed line is not returned, so that no library takes it for a
// whole one. From then on, Read fails with a *MalformedError.
func (r *Reader) Read(p []byte) (int, error) {
	if err := r.Err(); err != nil {
		return 0, err
	}
	n, err := r.from.Read(p)
	r.mu.Lock()
	defer r.mu.Unlock()
	valid, malformed := r.checker.Check(p[:n])
	if malformed != nil {
		r.err = malformed
		return valid, malformed
	}
	return n, err
}

// Err returns the *MalformedError that ended the reading of a head, or nil. A library may report a part of the malformed
// line instead.
func (r *Reader) Err() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.err
}
