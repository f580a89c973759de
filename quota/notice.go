package quota

import (
	"time"

	"geraniumpass/core"
)

// Notice is what one entry tells another of an instance's limit.
type Notice struct {
	Instance string `json:"instance" cbor:"1,keyasint"`
	Born     int64  `json:"born,omitempty" cbor:"2,keyasint,omitempty"`
	// Rate is in requests a second; Ended is true when the instance states no limit any more.
	Rate  float64 `json:"rate,omitempty" cbor:"3,keyasint,omitempty"`
	Ended bool    `json:"ended,omitempty" cbor:"4,keyasint,omitempty"`
	// Age is how long ago the request was sent whose answer carried the statement.
	Age time.Duration `json:"age,omitempty" cbor:"5,keyasint,omitempty"`
}

func (n Notice) start() core.Start {
	return core.Start{
		ID:        n.Instance,
		StartedAt: n.Born,
	}
}

func (n Notice) limit() Limit {
	if n.Ended {
		return Limit{}
	}
	return Limit{
		Stated: true,
		Rate:   n.Rate,
	}
}

// isValid returns true for a notice that an entry may tell.
func (n Notice) isValid() bool {
	return n.Age >= 0 && n.Rate >= 0
}
