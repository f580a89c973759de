package proto

// Frame is one message on a link; exactly one field is set.
type Frame struct {
	Dispatch      *Dispatch      `cbor:"1,keyasint,omitempty"`
	Cancel        *Cancel        `cbor:"2,keyasint,omitempty"`
	Answer        *Answer        `cbor:"3,keyasint,omitempty"`
	Ack           *Ack           `cbor:"4,keyasint,omitempty"`
	Resume        *Resume        `cbor:"5,keyasint,omitempty"`
	Refused       *Refused       `cbor:"6,keyasint,omitempty"`
	Report        *Report        `cbor:"7,keyasint,omitempty"`
	Heartbeat     *Heartbeat     `cbor:"8,keyasint,omitempty"`
	Drain         *Drain         `cbor:"9,keyasint,omitempty"`
	Order         *Order         `cbor:"10,keyasint,omitempty"`
	OrderReply    *OrderReply    `cbor:"11,keyasint,omitempty"`
	Config        *Config        `cbor:"12,keyasint,omitempty"`
	ConfigRequest *ConfigRequest `cbor:"13,keyasint,omitempty"`
	UpdateRequest *UpdateRequest `cbor:"14,keyasint,omitempty"`
	Update        *Update        `cbor:"15,keyasint,omitempty"`
	RankState     *GroupRank     `cbor:"16,keyasint,omitempty"`
	RankOrder     *GroupOrder    `cbor:"17,keyasint,omitempty"`

	GroupLoadRequest *GroupLoadRequest `cbor:"18,keyasint,omitempty"`
	GroupLoad        *GroupLoad        `cbor:"19,keyasint,omitempty"`
}
