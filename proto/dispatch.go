package proto

import (
	"time"
)

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
	// Sent is when this was sent on the sender's steady clock, from a moment of its own; zero where it doesn't say.
	Sent time.Duration `cbor:"20,keyasint,omitempty"`
}
