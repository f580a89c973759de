package proto

// OrderKind is a phase of the expert-map switch.
type OrderKind string

// Orders of a switch. OrderInquire changes no state except the fence.
const (
	OrderInquire OrderKind = "inquire"
	OrderStage   OrderKind = "stage"
	OrderCap     OrderKind = "cap"
	OrderUncap   OrderKind = "uncap"
	OrderGrant   OrderKind = "grant"
)

// Order is an instruction from a group's leader to one rank.
type Order struct {
	Incarnation uint64    `cbor:"1,keyasint"`
	Fence       uint64    `cbor:"2,keyasint"`
	Seq         uint64    `cbor:"3,keyasint"`
	Kind        OrderKind `cbor:"4,keyasint"`
	Version     uint64    `cbor:"5,keyasint,omitempty"`
	Step        uint64    `cbor:"6,keyasint,omitempty"`
	Map         []byte    `cbor:"7,keyasint,omitempty"`
	// Full requests the rank's map and expert token counts, which are large, in reply to an
	// inquiry.
	Full bool `cbor:"8,keyasint,omitempty"`
}

// OrderReply answers the order with the same fence and sequence number.
type OrderReply struct {
	Incarnation uint64    `cbor:"1,keyasint"`
	Fence       uint64    `cbor:"2,keyasint"`
	Seq         uint64    `cbor:"3,keyasint"`
	Kind        OrderKind `cbor:"4,keyasint"`
	OK          bool      `cbor:"5,keyasint"`
	Deposed     bool      `cbor:"6,keyasint,omitempty"`
	Rank        RankState `cbor:"7,keyasint"`
}

// RankState is the state of a rank: its current map, its next step, and the cap and grant of a
// switch.
type RankState struct {
	Version   uint64 `cbor:"1,keyasint" json:"version"`
	Step      uint64 `cbor:"2,keyasint" json:"step"`
	Capped    bool   `cbor:"3,keyasint,omitempty" json:"capped"`
	CapStep   uint64 `cbor:"4,keyasint,omitempty" json:"cap_step"`
	CapMap    uint64 `cbor:"5,keyasint,omitempty" json:"cap_map"`
	Granted   bool   `cbor:"6,keyasint,omitempty" json:"granted"`
	GrantMap  uint64 `cbor:"7,keyasint,omitempty" json:"grant_map"`
	GrantStep uint64 `cbor:"8,keyasint,omitempty" json:"grant_step"`
	Staged    uint64 `cbor:"9,keyasint,omitempty" json:"staged"`
	// Tokens is the smoothed token count of each expert on this rank since the last report.
	Tokens []float64 `cbor:"10,keyasint,omitempty" json:"tokens,omitempty"`
	// Map is the current placement, one list of ranks per expert, in the engine's own encoding.
	Map []byte `cbor:"11,keyasint,omitempty" json:"map,omitempty"`
}
