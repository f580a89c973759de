package proto

import "time"

// ClassLoad is the queued work of one class at an agent.
type ClassLoad struct {
	Class string  `cbor:"1,keyasint"`
	Cost  float64 `cbor:"2,keyasint"`
	N     int     `cbor:"3,keyasint"`
}

// Report is an agent's view of its upstream, sent in reply to each heartbeat and when the agent
// leaves or its upstream's health changes.
type Report struct {
	Running     int         `cbor:"1,keyasint"`
	Limit       int         `cbor:"2,keyasint"`
	Queued      []ClassLoad `cbor:"3,keyasint,omitempty"`
	DrainRate   float64     `cbor:"4,keyasint"`
	Leaving     bool        `cbor:"5,keyasint,omitempty"`
	Healthy     bool        `cbor:"6,keyasint"`
	RunningCost float64     `cbor:"7,keyasint"`
	Revision    uint64      `cbor:"8,keyasint,omitempty"`
	// Group, Rank and Ranks locate the upstream in a rank group. They are only set in the report
	// that replies to a heartbeat with WantRank.
	Group string `cbor:"9,keyasint,omitempty"`
	Rank  int    `cbor:"10,keyasint,omitempty"`
	Ranks int    `cbor:"11,keyasint,omitempty"`
}

// Heartbeat is sent by the dialing side. Floor is the lowest attempt number still open; the agent
// may drop its records below it.
type Heartbeat struct {
	Floor    uint64 `cbor:"1,keyasint"`
	Revision uint64 `cbor:"2,keyasint,omitempty"`
	Leaving  bool   `cbor:"3,keyasint,omitempty"`
	// LeavingAck acknowledges the agent's report that it leaves: no dispatch sent before the entry
	// received that report is still in flight on this link.
	LeavingAck bool `cbor:"5,keyasint,omitempty"`
	// WantRank requests the constant fields of the report: Group, Rank and Ranks.
	WantRank bool `cbor:"4,keyasint,omitempty"`
	// Sent is the send time, as in Dispatch.
	Sent time.Duration `cbor:"6,keyasint,omitempty"`
}

// Drain orders an agent to leave.
type Drain struct {
	RequestedBy string `cbor:"1,keyasint"`
}

// Config carries records of the configuration, or the complete document when the receiver is too
// far behind.
type Config struct {
	Revision uint64 `cbor:"1,keyasint"`
	Document []byte `cbor:"2,keyasint,omitempty"`
	Records  []byte `cbor:"3,keyasint,omitempty"`
}

// ConfigRequest requests all configuration changes after SinceRevision.
type ConfigRequest struct {
	SinceRevision uint64 `cbor:"1,keyasint"`
}
