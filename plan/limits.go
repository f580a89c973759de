package plan

import "time"

// Limits bounds the request sizes in bytes and the idle time of connections.
type Limits struct {
	HeaderBytes int
	BodyBytes   int
	Idle        time.Duration
}
