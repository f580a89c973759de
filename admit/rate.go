package admit

import (
	"math"
	"time"
)

// rateMemory is the time in which an event loses most of its weight: about as long as a stream runs, some ten events of an entry.
const rateMemory = time.Second

// rate counts events a second, the late ones most; its zero value has seen none.
type rate struct {
	weight float64
	at     time.Time
}

func (r *rate) add(now time.Time) {
	r.weight = r.decayed(now) + 1
	r.at = now
}

func (r *rate) decayed(now time.Time) float64 {
	return r.weight * math.Exp(-now.Sub(r.at).Seconds()/rateMemory.Seconds())
}

// perSecond returns how often the event has come lately.
func (r *rate) perSecond(now time.Time) float64 {
	return r.decayed(now) / rateMemory.Seconds()
}
