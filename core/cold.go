package core

import "time"

// Cold describes how long an instance is cold after its start and what it accepts meanwhile.
type Cold struct {
	// Duration is how long an instance stays cold, zero if it never is.
	Duration time.Duration
	// Rate is the number of requests per second that a cold instance tolerates, zero if unlimited.
	Rate float64
}
