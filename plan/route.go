package plan

import "time"

// Route defines how the requests of one host and path prefix are handled.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// Aim is the latency target of the class: the time to the response, or to the first event of a
	// stream.
	Aim time.Duration
	// Gap is the longest pause between two events of a stream that meets the target.
	Gap time.Duration
	// Patience is how long callers wait for the first event of a stream before they disconnect, or
	// zero if they wait until the timeout.
	Patience time.Duration
	// Rank is the priority of the class, zero being the highest.
	Rank int
	// Attempts is the maximum number of upstreams that one request may be sent to.
	Attempts int
	// Anonymous routes require no key.
	Anonymous bool
	// Resume allows another upstream to resume a stream after the last delivered event.
	Resume bool
	// Shares is empty for a route that the manifest has and that isn't understood.
	Shares []Share
}

// Served reports whether there is a service for the requests of the route. The others must be refused.
func (r *Route) Served() bool {
	return len(r.Shares) > 0
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStream && r.Resume
}
