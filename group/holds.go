package group

import (
	"expvar"
	"time"

	"geraniumpass/meter"
)

// holdTimes is the distribution of the time from the order of a hold to the order that ends it, over
// the switches that this process led. While it runs, a group stands if the machine that holds, or one
// that isn't armed yet, stops.
var holdTimes = expvar.NewMap("map_switch_hold_to_go_ms")

// holdTimeBounds returns the upper bounds of the buckets of holdTimes, in ascending order: from the
// calls of one machine to the longest wait for a hold that isn't confirmed.
func holdTimeBounds() []time.Duration {
	return []time.Duration{
		10 * time.Millisecond,
		20 * time.Millisecond,
		35 * time.Millisecond,
		50 * time.Millisecond,
		70 * time.Millisecond,
		100 * time.Millisecond,
		200 * time.Millisecond,
		holdTimeout,
	}
}

// holdTimeBucket returns the name of the bucket that counts a duration: its upper bound, included, in
// milliseconds, or "more".
func holdTimeBucket(d time.Duration) string {
	return meter.Bucket(holdTimeBounds(), d)
}
