package proto

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/zeebo/errs/v2"
)

// maxUnpackedBytes bounds what a packed value may expand to, several times the state of the largest
// fleet.
const maxUnpackedBytes = 64 << 20

// PackedTooLargeError reports a packed value that expands beyond the limit.
type PackedTooLargeError struct {
	Limit int
}

// Error returns a message without the value.
func (e *PackedTooLargeError) Error() string {
	return "packed value expands beyond the limit"
}

// Pack returns the compressed CBOR encoding of v. Tables and lists repeat their field names in each
// row, so they take a fraction of their encoding.
func Pack(v any) ([]byte, error) {
	b, err := Marshal(v)
	if err != nil {
		return nil, err
	}
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, errs.Wrap(err)
	}
	if _, err := w.Write(b); err != nil {
		return nil, errs.Wrap(err)
	}
	if err := w.Close(); err != nil {
		return nil, errs.Wrap(err)
	}
	return out.Bytes(), nil
}

// Unpack decodes a packed value into v and fails with a *PackedTooLargeError if it is too large.
func Unpack(b []byte, v any) error {
	r := flate.NewReader(bytes.NewReader(b))
	defer func() { _ = r.Close() }()
	raw, err := io.ReadAll(io.LimitReader(r, maxUnpackedBytes+1))
	if err != nil {
		return errs.Wrap(err)
	}
	if len(raw) > maxUnpackedBytes {
		return &PackedTooLargeError{Limit: maxUnpackedBytes}
	}
	return Unmarshal(raw, v)
}
