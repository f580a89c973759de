package gate

import (
	"math"
	"time"
)

// instanceLoad is this entry's observations of one incarnation of an instance.
type instanceLoad struct {
	inFlight int
	// reported is the last load reported by the instance, including inFlightAtReport requests of
	// this entry.
	reported         float64
	inFlightAtReport int
	reportedAt       time.Time
	// failures is the failure score at failedAt. It decays with failureHalfLife.
	failures float64
	failedAt time.Time
	// consecutiveLosses counts the requests lost since the instance last began an answer;
	// lastLossAt is when the last of them was lost.
	consecutiveLosses int
	lastLossAt        time.Time
	// addressReused is set once another instance has answered at this address.
	addressReused bool
	// lastInvalid is the error of the last answer with invalid headers, empty if none.
	lastInvalid string
	// begun holds when the requests of the last maxLoadAge began, oldest first.
	begun []time.Time
	// waiting holds the send times of requests without a first byte, oldest first.
	waiting []time.Time
}

// reportWeight returns the weight of the last reported load, from 0 (none) to 1 (just reported).
func (ld *instanceLoad) reportWeight(now time.Time) float64 {
	if ld.reportedAt.IsZero() {
		return 0
	}
	return math.Exp2(-now.Sub(ld.reportedAt).Seconds() / loadHalfLife.Seconds())
}

// othersLoad returns the load from other entries as of the last report.
func (ld *instanceLoad) othersLoad() float64 {
	return max(0, ld.reported-float64(ld.inFlightAtReport))
}

// isFailing reports whether an instance should get no request: it lost all of its recent ones, and
// either the last loss is within failingCooldown or a test request is in flight. The failure score
// doesn't distinguish two losses of two requests from two of a hundred.
func (ld *instanceLoad) isFailing(now time.Time) bool {
	return ld.consecutiveLosses >= failingThreshold && (now.Sub(ld.lastLossAt) < failingCooldown || ld.inFlight > 0)
}

func (ld *instanceLoad) decayedFailures(now time.Time) float64 {
	return ld.failures * math.Exp2(-now.Sub(ld.failedAt).Seconds()/failureHalfLife.Seconds())
}
