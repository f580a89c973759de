package admit

import (
	"math"
	"time"
)

const (
	// pauseShare is the share of the permitted pause from which a pause of a stream is recorded.
	pauseShare = 0.75
	// maxPauseShare is the multiple of the permitted pause from which a pause is a stall, which less load
	// doesn't prevent.
	maxPauseShare = 2
	// pauseSlots is the share of the slots that have to run for a pause to be recorded. With fewer requests,
	// single ranks that run more than the others look like unevenness.
	pauseSlots = 0.4
	// pauseMemory is the time constant in which a pause is forgotten: longer than the experts in demand
	// usually stay the same, so that the next change finds room.
	pauseMemory = time.Minute
)

// pauses are the longest steps as streams have shown them. The mean step time in a status hides a single
// long step, as after a change of the experts in demand, but each stream that runs through it is late.
type pauses struct {
	// unevenness explains the longest pause by the number of running requests, zero if there was none.
	unevenness float64
	learnedAt  time.Time
}

// add records a pause of a stream while each rank of the usable groups ran the given number of requests.
func (p *pauses) add(now time.Time, terms engineTerms, pause, gap time.Duration, running float64) {
	if running < pauseSlots*float64(terms.slots) || float64(pause) < pauseShare*float64(gap) || pause > maxPauseShare*gap {
		return
	}
	unevenness := terms.unevenness(pause, running)
	if unevenness > p.at(now) {
		p.unevenness = unevenness
		p.learnedAt = now
	}
}

// at returns the unevenness to expect of the longest steps, which decreases with time.
func (p *pauses) at(now time.Time) float64 {
	return p.unevenness * math.Exp(-now.Sub(p.learnedAt).Seconds()/pauseMemory.Seconds())
}
