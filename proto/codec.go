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
	maxArray = 1 << 20
	maxMap   = 1 << 16
	maxNest  = 32
)

var (
	encoder = lo.Must(cbor.CoreDetEncOptions().EncMode())
	decoder = lo.Must(cbor.DecOptions{
		MaxArrayElements: maxArray,
		MaxMapPairs:      maxMap,
		MaxNestedLevels:  maxNest,
	}.DecMode())
)

// Encode appends the CBOR form of f to buf.
func Encode(buf *bytes.Buffer, f *Frame) error {
	return errs.Wrap(encoder.NewEncoder(buf).Encode(f))
}

// Decode calls fn for each frame of a message in order and returns the first error of decoding or of fn.
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

// Marshal returns the CBOR form of v, for values that travel inside a frame.
func Marshal(v any) ([]byte, error) {
	b, err := encoder.Marshal(v)
	return b, errs.Wrap(err)
}

// Unmarshal reads the CBOR form of v.
func Unmarshal(b []byte, v any) error {
	return errs.Wrap(decoder.Unmarshal(b, v))
}
