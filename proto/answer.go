package proto

import (
	"geraniumpass/core"
)

// WindowParts and WindowBytes are the unacknowledged parts and bytes of an answer at which an agent waits for
// an acknowledgement.
const (
	WindowParts = 128
	WindowBytes = 512 << 10
)

// Answer is one part of an attempt's answer. Parts are numbered from 0, and the part with Last set
// ends the answer.
type Answer struct {
	N       uint64   `cbor:"1,keyasint"`
	Seq     uint32   `cbor:"2,keyasint"`
	Last    bool     `cbor:"3,keyasint,omitempty"`
	Status  int      `cbor:"4,keyasint,omitempty"`
	Headers []Header `cbor:"5,keyasint,omitempty"`
	Data    []byte   `cbor:"6,keyasint,omitempty"`
	// Failed is set on a last part when the upstream was lost before its answer was complete.
	Failed core.Reason `cbor:"7,keyasint,omitempty"`
}

// Ack acknowledges every part below Next.
type Ack struct {
	N    uint64 `cbor:"1,keyasint"`
	Next uint32 `cbor:"2,keyasint"`
}

// Resume requests an attempt's parts from Next on, on a new link.
type Resume struct {
	N    uint64 `cbor:"1,keyasint"`
	Next uint32 `cbor:"2,keyasint"`
}
