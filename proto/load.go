package proto

import "geraniumpass/core"

// GroupLoadRequest subscribes the sender to the group loads of an agent, for as long as the link is
// open.
type GroupLoadRequest struct{}

// GroupLoad is the load and condition of a group. Agents send it to the entries that subscribed, at a
// fixed interval and at once when the condition changes.
type GroupLoad struct {
	Group string `cbor:"1,keyasint"`
	Epoch int64  `cbor:"2,keyasint"`
	Open  bool   `cbor:"3,keyasint"`
	// ClosedMs, StepMs and StalledMs are times in milliseconds, zero if they don't apply.
	ClosedMs  int64   `cbor:"4,keyasint,omitempty"`
	StepMs    float64 `cbor:"5,keyasint,omitempty"`
	StalledMs int64   `cbor:"6,keyasint,omitempty"`
	// Ranks is empty while the group has no leader.
	Ranks *RankLoads `cbor:"7,keyasint,omitempty"`
	// RanksAgeMs is how old Ranks is, in milliseconds.
	RanksAgeMs int64 `cbor:"8,keyasint,omitempty"`
	// OpeningBasis is what the expected opening of a closed group is based on, zero if nothing is
	// expected; OpensInMs is the time until then in milliseconds, and Missing the number of ranks that
	// are not heard.
	OpeningBasis uint8 `cbor:"9,keyasint,omitempty"`
	OpensInMs    int64 `cbor:"10,keyasint,omitempty"`
	Missing      int   `cbor:"11,keyasint,omitempty"`
}

// RankLoads is the load of all ranks of a group. The leader sends it to the agents with its heartbeats,
// and the agents to the entries.
type RankLoads struct {
	// Running and Waiting are the requests in the batch and the queue of each rank, by rank number, at
	// most 255.
	Running []byte `cbor:"1,keyasint"`
	Waiting []byte `cbor:"2,keyasint"`
	// Slow is the pace of the ranks that are slow, by rank number.
	Slow map[int]float64 `cbor:"3,keyasint,omitempty"`
	// Starts is the incarnation of each rank, by rank number. It is omitted in messages that follow on
	// the same link until it changes; StartsVersion is that of the present one.
	Starts        []core.Start `cbor:"4,keyasint,omitempty"`
	StartsVersion int64        `cbor:"5,keyasint"`
	// Missing is the number of ranks that the leader doesn't hear, absent while it doesn't know.
	Missing *int `cbor:"6,keyasint,omitempty"`
	// BackMs is the time since the last missing rank was back, in milliseconds; zero if Missing isn't.
	BackMs int64 `cbor:"7,keyasint,omitempty"`
}
