package outage

import (
	"math"
	"slices"
	"time"
)

// durations holds the last observed durations of one kind.
type durations struct {
	list []time.Duration
}

// maxDurations is the number of durations remembered. Outages are rare, so that this covers a long time.
const maxDurations = 8

func (d *durations) add(one time.Duration) {
	if len(d.list) == maxDurations {
		d.list = slices.Delete(d.list, 0, 1)
	}
	d.list = append(d.list, one)
}

// quantile returns the smallest duration that the given share of all durations doesn't exceed. ok is false
// if there are none.
func (d *durations) quantile(share float64) (q time.Duration, ok bool) {
	if len(d.list) == 0 {
		return 0, false
	}
	sorted := slices.Sorted(slices.Values(d.list))
	at := int(math.Ceil(share*float64(len(sorted)))) - 1
	return sorted[max(at, 0)], true
}

// remaining returns the median of the time left of those that lasted longer than elapsed. If none did, it
// is as long again: the tail of such durations is heavy. ok is false if there are none at all.
func (d *durations) remaining(elapsed time.Duration) (left time.Duration, ok bool) {
	var longer durations
	for _, one := range d.list {
		if one > elapsed {
			longer.list = append(longer.list, one-elapsed)
		}
	}
	if left, ok = longer.quantile(0.5); ok {
		return left, true
	}
	return elapsed, len(d.list) > 0
}
