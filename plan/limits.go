package plan

import "time"

// Limits bounds the request sizes in bytes, the time that a header may take and the idle time of connections.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	Idle          time.Duration
}
