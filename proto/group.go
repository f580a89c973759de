package proto

// GroupRank is the state of a rank, sent by its agent to the leader of the rank's group.
type GroupRank struct {
	// Seq is the sequence number of the order that this answers, or zero for an unsolicited state.
	Seq      uint64 `cbor:"1,keyasint,omitempty"`
	OK       bool   `cbor:"2,keyasint,omitempty"`
	Refused  bool   `cbor:"3,keyasint,omitempty"`
	Group    string `cbor:"4,keyasint"`
	Epoch    int64  `cbor:"5,keyasint"`
	Rank     int    `cbor:"6,keyasint"`
	Size     int    `cbor:"7,keyasint"`
	Open     bool   `cbor:"8,keyasint"`
	Step     int64  `cbor:"9,keyasint"`
	Map      int64  `cbor:"10,keyasint"`
	Prepared int64  `cbor:"11,keyasint"`
	// Armed and ArmedStep are negative when no switch is armed.
	Armed     int64 `cbor:"12,keyasint"`
	ArmedStep int64 `cbor:"13,keyasint"`
	// Held is the step that the rank does not start, or negative for none.
	Held int64 `cbor:"14,keyasint"`
	// ExpertCounts holds how often each expert was selected since the last report, ordered by set,
	// in units of CountUnit. Counts take one byte each or, if Experts (their number) is set, are
	// packed by place.Packer.
	ExpertCounts []byte  `cbor:"26,keyasint,omitempty"`
	Experts      int     `cbor:"27,keyasint,omitempty"`
	CountUnit    float64 `cbor:"23,keyasint,omitempty"`
	// ExpertLists holds this rank's experts by set under the map version ExpertListsVersion, if
	// requested.
	ExpertLists        [][]int `cbor:"21,keyasint,omitempty"`
	ExpertListsVersion int64   `cbor:"22,keyasint,omitempty"`
	// NeedsFullMap answers an order whose map cannot be reconstructed here. The leader must send
	// the complete map.
	NeedsFullMap bool `cbor:"24,keyasint,omitempty"`
	// EngineStart is the start time of the rank's engine, in Unix milliseconds.
	EngineStart int64 `cbor:"25,keyasint,omitempty"`
	// Pace is the engine's step time as a multiple of its usual step time, or zero if not reported.
	Pace float64 `cbor:"28,keyasint,omitempty"`
	// Running and Waiting are the requests in the engine's batch and queue.
	Running int `cbor:"29,keyasint,omitempty"`
	Waiting int `cbor:"30,keyasint,omitempty"`
	// ReadableMs is how long the engine has been readable, in milliseconds.
	ReadableMs int64 `cbor:"31,keyasint,omitempty"`
}

// GroupOrder is an order from a group's leader to the agent beside a rank.
type GroupOrder struct {
	Fence int64  `cbor:"1,keyasint"`
	Seq   uint64 `cbor:"2,keyasint"`
	// Op is a shift.Op, or zero for a heartbeat of the leader.
	Op      uint8 `cbor:"3,keyasint"`
	Epoch   int64 `cbor:"4,keyasint"`
	Version int64 `cbor:"5,keyasint,omitempty"`
	Step    int64 `cbor:"6,keyasint,omitempty"`
	// MinAhead is the minimum number of steps that a hold must lie ahead.
	MinAhead int64 `cbor:"13,keyasint,omitempty"`
	// Map lists the experts by set and rank. An order to prepare carries Map, or BaseVersion and
	// MapDelta, or neither when it is repeated on the same link.
	Map [][][]int `cbor:"7,keyasint,omitempty"`
	// BaseVersion is the version of a map that the rank has received, and MapDelta the difference
	// from it. CBOR keys 9 and 10 stay unused: a process that expects a map's rows under them must
	// not mistake the base alone for the new map.
	BaseVersion int64  `cbor:"11,keyasint,omitempty"`
	MapDelta    []byte `cbor:"12,keyasint,omitempty"`
	// Group is the group led by the sender. An agent of another group only replies with its own.
	Group string `cbor:"8,keyasint"`
	// Loads is the load of all ranks, sent with heartbeats.
	Loads *RankLoads `cbor:"14,keyasint,omitempty"`
}
