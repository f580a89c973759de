package quota

import (
	"time"

	"geraniumpass/core"
)

// Notice is an instance's limit as one entry reports it to another.
type Notice struct {
	Instance  string `json:"instance" cbor:"1,keyasint"`
	StartedAt int64  `json:"born,omitempty" cbor:"2,keyasint,omitempty"`
	// Rate is in requests per second; Ended is true if the instance no longer advertises a limit.
	Rate  float64 `json:"rate,omitempty" cbor:"3,keyasint,omitempty"`
	Ended bool    `json:"ended,omitempty" cbor:"4,keyasint,omitempty"`
	// Age is the time since the request was sent whose answer carried the limit.
	Age time.Duration `json:"age,omitempty" cbor:"5,keyasint,omitempty"`
}

func (n Notice) start() core.Start {
	return core.Start{
		ID:        n.Instance,
		StartedAt: n.StartedAt,
	}
}

func (n Notice) limit() Limit {
	if n.Ended {
		return Limit{}
	}
	return Limit{
		Advertised: true,
		Rate:       n.Rate,
	}
}

// isValid reports whether the notice has a plausible age and rate.
func (n Notice) isValid() bool {
	return n.Age >= 0 && n.Rate >= 0
}
