package proto

import (
	"geraniumpass/core"
	"geraniumpass/crash"
	"geraniumpass/quota"
)

// NewsAsk asks a peer for what it knows beyond revision Rev and table version Table, waiting up to WaitMs for something.
type NewsAsk struct {
	Rev    int64 `cbor:"1,keyasint"`
	Table  int64 `cbor:"2,keyasint"`
	WaitMs int64 `cbor:"3,keyasint"`
	// Ends is the EndsUpTo of the peer's last answer on this link, zero before one.
	Ends int64 `cbor:"4,keyasint,omitempty"`
	// Limits is the LimitsUpTo of the peer's last answer on this link, zero before one.
	Limits int64 `cbor:"5,keyasint,omitempty"`
	// Leaving is the LeavingUpTo of the peer's last answer on this link, zero before one.
	Leaving int64 `cbor:"6,keyasint,omitempty"`
}

// News is the answer: the peer's revision, and what it knows when that is newer.
type News struct {
	Rev int64 `cbor:"1,keyasint"`
	// Table is a routing table, empty when the asker has it.
	Table []byte `cbor:"2,keyasint,omitempty"`
	// Instances and Members are complete where Newer is set.
	Newer     bool              `cbor:"3,keyasint,omitempty"`
	Instances []byte            `cbor:"4,keyasint,omitempty"`
	Members   map[string]string `cbor:"5,keyasint,omitempty"`
	// Lapsed names those of the instances that are kept although their entry has vanished.
	Lapsed []string `cbor:"6,keyasint,omitempty"`
	// Ends are the ends of instances that the peer has learned of beyond those asked for, EndsUpTo its number of the last of them.
	Ends     []crash.Termination `cbor:"7,keyasint,omitempty"`
	EndsUpTo int64               `cbor:"8,keyasint,omitempty"`
	// Paces are the slow instances by group, complete where Newer is set.
	Paces map[string][]core.Pace `cbor:"9,keyasint,omitempty"`
	// Limits are what instances state that the peer has learned of beyond those asked for, LimitsUpTo its number of the last of them.
	Limits     []quota.Notice `cbor:"10,keyasint,omitempty"`
	LimitsUpTo int64          `cbor:"11,keyasint,omitempty"`
	// Leaving are the starts of instances beyond those asked for that are known to leave, LeavingUpTo the peer's number of the last of them.
	Leaving     []core.Start `cbor:"12,keyasint,omitempty"`
	LeavingUpTo int64        `cbor:"13,keyasint,omitempty"`
}
