package crash

import (
	"time"

	"geraniumpass/core"
)

// Termination records that an instance terminated while it was running a request, or a request whose
// prompt has a segment.
type Termination struct {
	Digest Digest `json:"digest" cbor:"1,keyasint"`
	// Account is the name of the request's client account, empty if it has none.
	Account string `json:"account,omitempty" cbor:"2,keyasint,omitempty"`
	// Instance and StartedAt identify the incarnation that terminated. Recurrence counts earlier
	// terminations of an instance that doesn't report start times.
	Instance   string `json:"instance" cbor:"3,keyasint"`
	StartedAt  int64  `json:"born,omitempty" cbor:"4,keyasint,omitempty"`
	Recurrence int    `json:"again,omitempty" cbor:"5,keyasint,omitempty"`
	// Time is when the termination was observed, in Unix milliseconds by the observer's clock.
	// Processes that receive the record later use it to detect simultaneous terminations.
	Time int64 `json:"time" cbor:"8,keyasint,omitempty"`
	// Uncertain is true if no other instance in the same failure domain was reachable either, as in a
	// partition.
	Uncertain bool `json:"unsure,omitempty" cbor:"9,keyasint,omitempty"`
	// Cleared is true once the request is known not to have caused the termination.
	Cleared bool `json:"cleared,omitempty" cbor:"6,keyasint,omitempty"`
	// Segment is true if Digest identifies a prompt segment instead of a request.
	Segment bool `json:"segment,omitempty" cbor:"10,keyasint,omitempty"`
	// Unanswered is true for a request that has segments and whose answer was not in progress.
	Unanswered bool `json:"unanswered,omitempty" cbor:"11,keyasint,omitempty"`
	// Blocked is true if an entry with enough traffic to evaluate it refuses requests with the segment.
	Blocked bool `json:"blocked,omitempty" cbor:"12,keyasint,omitempty"`
	// Age is the time since the termination was last confirmed; it is set when the record is sent
	// to another process or published. Older builds don't publish it.
	Age time.Duration `json:"age,omitempty" cbor:"7,keyasint,omitempty"`
}

// Run is a request that an instance was running when it terminated.
type Run struct {
	Digest Digest
	// Account is the name of the request's client account, empty if it has none.
	Account string
	Start   core.Start
	// SentAt is when the request was sent; if zero, a termination within a second of another one of the
	// same incarnation is taken for the same.
	SentAt time.Time
	// Certain is false if the instance may only have been unreachable.
	Certain bool
	// Begun is true if the instance had begun to answer.
	Begun bool
	// Segments are those of the prompt that may be the cause, none if the answer was in progress.
	Segments []Digest
}

// TerminationKey identifies a termination of an incarnation.
type TerminationKey struct {
	Start      core.Start
	Recurrence int
}

// Key returns the key of the termination.
func (e Termination) Key() TerminationKey {
	return TerminationKey{
		Start: core.Start{
			ID:        e.Instance,
			StartedAt: e.StartedAt,
		},
		Recurrence: e.Recurrence,
	}
}
