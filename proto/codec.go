package proto

import (
	"bytes"
	"errors"
	"io"

	"github.com/fxamacker/cbor/v2"
	"github.com/samber/lo"
	"github.com/zeebo/errs/v2"
)

const (
	maxArrayElements = 1 << 20
	maxMapPairs      = 1 << 16
	maxNestedLevels  = 32
)

var (
	encoder = lo.Must(cbor.CoreDetEncOptions().EncMode())
	decoder = lo.Must(cbor.DecOptions{
		MaxArrayElements: maxArrayElements,
		MaxMapPairs:      maxMapPairs,
		MaxNestedLevels:  maxNestedLevels,
	}.DecMode())
)

// Encode appends the CBOR encoding of f to buf.
func Encode(buf *bytes.Buffer, f *Frame) error {
	return errs.Wrap(encoder.NewEncoder(buf).Encode(f))
}

// Decode calls fn for each frame of a message in order and returns the first error of decoding or
// of fn.
func Decode(message []byte, fn func(*Frame) error) error {
	d := decoder.NewDecoder(bytes.NewReader(message))
	for {
		f := &Frame{}
		err := d.Decode(f)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errs.Wrap(err)
		}
		if err := fn(f); err != nil {
			return err
		}
	}
}

// Marshal returns the CBOR encoding of v.
func Marshal(v any) ([]byte, error) {
	b, err := encoder.Marshal(v)
	return b, errs.Wrap(err)
}

// Unmarshal decodes CBOR into v.
func Unmarshal(b []byte, v any) error {
	return errs.Wrap(decoder.Unmarshal(b, v))
}
