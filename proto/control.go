package proto

import "time"

// ClassLoad is what waits in an agent's queue for one class.
type ClassLoad struct {
	Class string  `cbor:"1,keyasint"`
	Cost  float64 `cbor:"2,keyasint"`
	N     int     `cbor:"3,keyasint"`
}

// Report is an agent's view of its upstream, sent on every change of note and on each heartbeat.
type Report struct {
	Running     int         `cbor:"1,keyasint"`
	Limit       int         `cbor:"2,keyasint"`
	Queued      []ClassLoad `cbor:"3,keyasint,omitempty"`
	Drain       float64     `cbor:"4,keyasint"`
	Leaving     bool        `cbor:"5,keyasint,omitempty"`
	Healthy     bool        `cbor:"6,keyasint"`
	RunningCost float64     `cbor:"7,keyasint"`
	Revision    uint64      `cbor:"8,keyasint,omitempty"`
	// Group, Rank and Ranks tell the place in a rank group, in the first report on a link only.
	Group string `cbor:"9,keyasint,omitempty"`
	Rank  int    `cbor:"10,keyasint,omitempty"`
	Ranks int    `cbor:"11,keyasint,omitempty"`
}

// Heartbeat is sent by the dialling side; Floor is the lowest attempt number still open, below which the agent may forget.
type Heartbeat struct {
	Floor    uint64 `cbor:"1,keyasint"`
	Revision uint64 `cbor:"2,keyasint,omitempty"`
	Leaving  bool   `cbor:"3,keyasint,omitempty"`
	// Heard tells an agent that leaves that no dispatch sent to it as one that stays is still on its way on this link.
	Heard bool `cbor:"5,keyasint,omitempty"`
	// First asks for the part of the report that never changes.
	First bool `cbor:"4,keyasint,omitempty"`
	// Sent is when this was sent, as in Dispatch.
	Sent time.Duration `cbor:"6,keyasint,omitempty"`
}

// Drain orders an agent to leave.
type Drain struct {
	Who string `cbor:"1,keyasint"`
}

// Config carries records of the configuration, or the whole document when the gap is too wide.
type Config struct {
	Revision uint64 `cbor:"1,keyasint"`
	Document []byte `cbor:"2,keyasint,omitempty"`
	Records  []byte `cbor:"3,keyasint,omitempty"`
}

// ConfigAsk asks for everything accepted after revision Have.
type ConfigAsk struct {
	Have uint64 `cbor:"1,keyasint"`
}
