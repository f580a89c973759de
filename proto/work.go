package proto

import (
	"time"

	"geraniumpass/core"
)

// Header is one HTTP header field.
type Header struct {
	Name  string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

// Dispatch hands one attempt of a request to an agent; N is unique within the entry's incarnation.
type Dispatch struct {
	N           uint64        `cbor:"1,keyasint"`
	Incarnation uint64        `cbor:"2,keyasint"`
	Request     string        `cbor:"3,keyasint"`
	Account     string        `cbor:"4,keyasint"`
	Class       string        `cbor:"5,keyasint"`
	Method      string        `cbor:"6,keyasint"`
	Path        string        `cbor:"7,keyasint"`
	Headers     []Header      `cbor:"8,keyasint,omitempty"`
	Body        []byte        `cbor:"9,keyasint,omitempty"`
	Stream      bool          `cbor:"10,keyasint,omitempty"`
	Idempotent  bool          `cbor:"11,keyasint,omitempty"`
	ClaimKey    string        `cbor:"12,keyasint,omitempty"`
	ClaimDigest uint64        `cbor:"13,keyasint,omitempty"`
	Remaining   time.Duration `cbor:"14,keyasint"`
	TargetLeft  time.Duration `cbor:"15,keyasint"`
	ResumeFrom  uint32        `cbor:"16,keyasint,omitempty"`
	Cost        float64       `cbor:"17,keyasint,omitempty"`
	// Within is the time that the class's target allows.
	Within time.Duration `cbor:"19,keyasint,omitempty"`
	// ClaimFor is how long the claim and its answer must be kept.
	ClaimFor time.Duration `cbor:"18,keyasint,omitempty"`
}

// Cancel gives up an attempt; the agent answers with Refused when it had not run.
type Cancel struct {
	N uint64 `cbor:"1,keyasint"`
}

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

// Refused says of an attempt that it did not run and will not, or, with OutcomeUnknown, that the agent cannot tell.
type Refused struct {
	N          uint64        `cbor:"1,keyasint"`
	Outcome    core.Outcome  `cbor:"2,keyasint"`
	Reason     core.Reason   `cbor:"3,keyasint"`
	RetryAfter time.Duration `cbor:"4,keyasint,omitempty"`
	// ClaimClosed promises that the attempt's claim will never run here, so that it may be moved.
	ClaimClosed bool `cbor:"5,keyasint,omitempty"`
}
