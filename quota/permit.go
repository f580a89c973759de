package quota

import (
	"time"

	"golang.org/x/time/rate"
)

// Permit is one request that an entry may send to an instance; the zero value is that of an instance that states no limit.
type Permit struct {
	taken *rate.Reservation
}

// Return gives the request back that was not sent after all.
func (p Permit) Return(now time.Time) {
	if p.taken != nil {
		p.taken.CancelAt(now)
	}
}
