// Package pool keeps connections to upstream instances open between requests.
// A connection carries one request at a time and is reused only after a complete answer.
package pool
