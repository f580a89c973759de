package crash

import (
	"time"

	"geraniumpass/core"
)

// End says that an instance ended while it was running a request.
type End struct {
	Digest Digest `json:"digest" cbor:"1,keyasint"`
	// Account is the name of the request's client account, empty without one.
	Account string `json:"account,omitempty" cbor:"2,keyasint,omitempty"`
	// Instance and Born name the start that ended; Again counts ends before this one of an instance that doesn't tell its starts apart.
	Instance string `json:"instance" cbor:"3,keyasint"`
	Born     int64  `json:"born,omitempty" cbor:"4,keyasint,omitempty"`
	Again    int    `json:"again,omitempty" cbor:"5,keyasint,omitempty"`
	// Time is when the end was seen, in Unix milliseconds by the clock of who saw it: whoever reads it later still knows which ends came
	// together.
	Time int64 `json:"time" cbor:"8,keyasint,omitempty"`
	// Unsure is true when no other instance of that one's failure domain could be reached either, as in a partition.
	Unsure bool `json:"unsure,omitempty" cbor:"9,keyasint,omitempty"`
	// Cleared is true once the end is known not to be the request's doing.
	Cleared bool `json:"cleared,omitempty" cbor:"6,keyasint,omitempty"`
	// Age is how long ago the end was last confirmed, when it is told to another process.
	Age time.Duration `json:"-" cbor:"7,keyasint,omitempty"`
}

// Place is which end of which start an End tells of.
type Place struct {
	Start core.Start
	Again int
}

// Place returns which end this one is.
func (e End) Place() Place {
	return Place{
		Start: core.Start{
			ID:   e.Instance,
			Born: e.Born,
		},
		Again: e.Again,
	}
}
