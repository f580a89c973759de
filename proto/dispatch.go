package proto

import (
	"time"
)

// Dispatch sends one attempt of a request to an agent. N is unique within the entry's incarnation.
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
	// Within is the time allowed by the target of the request's class.
	Within time.Duration `cbor:"19,keyasint,omitempty"`
	// ClaimRetention is how long the claim and its answer must be kept.
	ClaimRetention time.Duration `cbor:"18,keyasint,omitempty"`
	// Sent is the send time on the sender's monotonic clock, which has an arbitrary origin, or zero
	// if not reported.
	Sent time.Duration `cbor:"20,keyasint,omitempty"`
}
