package proto

import (
	"geraniumpass/core"
)

// Answer is one part of an attempt's answer; parts are numbered from 0 and the one marked Last ends it.
type Answer struct {
	N       uint64   `cbor:"1,keyasint"`
	Seq     uint32   `cbor:"2,keyasint"`
	Last    bool     `cbor:"3,keyasint,omitempty"`
	Status  int      `cbor:"4,keyasint,omitempty"`
	Headers []Header `cbor:"5,keyasint,omitempty"`
	Data    []byte   `cbor:"6,keyasint,omitempty"`
	// Failed is set on a last part when the upstream was lost before its answer was whole.
	Failed core.Reason `cbor:"7,keyasint,omitempty"`
}

// Ack tells the agent that every part below Next has arrived.
type Ack struct {
	N    uint64 `cbor:"1,keyasint"`
	Next uint32 `cbor:"2,keyasint"`
}

// Resume asks on a new link for the parts of an attempt from Next on.
type Resume struct {
	N    uint64 `cbor:"1,keyasint"`
	Next uint32 `cbor:"2,keyasint"`
}
