package admit

import (
	"math"
	"time"
)

const (
	// pauseShare is the share of the permitted pause from which a pause of a stream is recorded.
	pauseShare = 0.5
	// maxPauseShare is the multiple of the permitted pause from which a pause is a stall, which less load
	// doesn't prevent.
	maxPauseShare = 2
	// pauseWitness is the time between two pauses of which the shorter one counts: one stream alone may be
	// delayed on its way.
	pauseWitness = time.Second
	// pauseMemory is the time constant in which a pause is forgotten, longer than demand for the same experts
	// usually lasts.
	pauseMemory = time.Minute
)

// pauses are the longest steps, as streams have shown them. The mean step time of a status hides a single
// long step, as after a change of the experts in demand, which makes each stream late that runs through it.
type pauses struct {
	// unevenness explains the longest pauses by the number of running requests; zero if there was none.
	unevenness float64
	learnedAt  time.Time
	last       time.Duration
	lastAt     time.Time
}

// add records a pause of a stream while the usable groups ran the given number of requests on each rank.
func (p *pauses) add(now time.Time, terms engineTerms, pause, gap time.Duration, running float64) {
	if running <= 0 || float64(pause) < pauseShare*float64(gap) || pause > maxPauseShare*gap {
		return
	}
	unevenness := terms.unevenness(pause, running)
	if unevenness > p.at(now) {
		p.unevenness, p.learnedAt = unevenness, now
	}
}

// at returns the unevenness that the longest steps are expected to have, less as time goes on.
func (p *pauses) at(now time.Time) float64 {
	return p.unevenness * math.Exp(-now.Sub(p.learnedAt).Seconds()/pauseMemory.Seconds())
}
