package admit

import (
	"math"
	"time"
)

// rateWindow is the time constant of the decay: about the duration of a stream, or some ten events
// of an entry.
const rateWindow = time.Second

// rate is an exponentially decayed event rate; its zero value has seen no events.
type rate struct {
	weight  float64
	updated time.Time
}

func (r *rate) add(now time.Time) {
	r.weight = r.decayed(now) + 1
	r.updated = now
}

func (r *rate) decayed(now time.Time) float64 {
	return r.weight * math.Exp(-now.Sub(r.updated).Seconds()/rateWindow.Seconds())
}

// perSecond returns the recent number of events per second.
func (r *rate) perSecond(now time.Time) float64 {
	return r.decayed(now) / rateWindow.Seconds()
}
