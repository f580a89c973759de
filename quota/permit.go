package quota

import (
	"time"

	"golang.org/x/time/rate"
)

// Permit is the right to send one request to an instance; the zero value belongs to an instance
// without a limit.
type Permit struct {
	reservation *rate.Reservation
}

// Cancel puts back the token of a request that was not sent.
func (p Permit) Cancel(now time.Time) {
	if p.reservation != nil {
		p.reservation.CancelAt(now)
	}
}
