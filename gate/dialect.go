package gate

import "net/http"

// Dialect translates between HTTP headers and the request metadata exchanged with callers and
// upstreams.
type Dialect interface {
	// Read parses a caller's headers.
	Read(h http.Header) (Call, error)
	// Write sets the headers for the upstream in h, a copy of the caller's headers, and removes
	// those that the upstream must not see.
	Write(h http.Header, info AttemptInfo)
	// Reply parses the headers of an upstream's answer.
	Reply(status int, h http.Header) Reply
}
