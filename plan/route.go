package plan

import "time"

// Route says how the requests of one host and path prefix are treated.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time for which a caller is kept waiting.
	Timeout time.Duration
	// Aim is the time to the answer, or to a stream's first event, that is this class's target.
	Aim time.Duration
	// Gap is the longest pause between two events of a stream that still meets the target.
	Gap time.Duration
	// Patience is how long callers wait for a stream's first event before they leave, zero when they wait for all of their time.
	Patience time.Duration
	// Rank orders classes, zero first.
	Rank int
	// Attempts is how many upstreams one request may be sent to.
	Attempts int
	// Anonymous routes need no key.
	Anonymous bool
	// Resume allows another upstream to go on with a stream after the last event delivered.
	Resume bool
	Shares []Share
}

// Repeatable returns true when a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStream && r.Resume
}
