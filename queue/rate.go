package queue

import (
	"math"
	"time"
)

// rateWindow is the time constant of the decay.
const rateWindow = 2 * time.Second

// rate is an exponentially decayed sum per second.
type rate struct {
	sum  float64
	last time.Time
}

func (r *rate) add(now time.Time, v float64) {
	r.sum = r.decayed(now) + v
	r.last = now
}

func (r *rate) perSecond(now time.Time) float64 {
	return r.decayed(now) / rateWindow.Seconds()
}

func (r *rate) decayed(now time.Time) float64 {
	return r.sum * math.Exp(-now.Sub(r.last).Seconds()/rateWindow.Seconds())
}
