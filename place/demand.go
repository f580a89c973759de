package place

import (
	"math"
	"time"
)

const (
	// calmChange is how far late counts lie from the ones before, as a share of all choices, while popularity stands still: requests differ.
	calmChange = 0.12
	// turnChange is from where popularity has turned and what was counted before says nothing any more; turns of the users change half of it.
	turnChange = 0.25
	// freshHalfLife weighs the counts that show a turn: about a step of a group.
	freshHalfLife = 60 * time.Millisecond
	// settling is how long counts have to agree for a turn to be over: some tells of a group's ranks, which come every few ms then.
	settling = 30 * time.Millisecond
	// settleMost bounds a turn: two steps, within which every rank has counted what is chosen now.
	settleMost = 130 * time.Millisecond
)

// Demand estimates how often experts are chosen from what ranks count. It answers popularity that stands still for seconds and then
// turns within a step: it averages for as long as late counts agree with earlier ones, and forgets those when they don't.
type Demand struct {
	// HalfLife is the time in which an older count loses half of its weight while popularity stands still.
	HalfLife time.Duration

	weights []float64
	fresh   []float64
	at      time.Time
	// turned is when counts last differed from the ones before, since when they began to.
	turned time.Time
	since  time.Time
}

// Observe takes how often experts were chosen lately, set after set, in units of unit.
func (d *Demand) Observe(now time.Time, chosen []byte, unit float64) {
	if len(d.weights) != len(chosen) {
		d.weights = make([]float64, len(chosen))
		d.fresh = make([]float64, len(chosen))
		d.at = now
	}
	past := now.Sub(d.at)
	d.at = now
	scale(d.weights, fade(past, d.memory(now)))
	scale(d.fresh, fade(past, freshHalfLife))
	for i, n := range chosen {
		d.weights[i] += float64(n) * unit
		d.fresh[i] += float64(n) * unit
	}
	if change := distance(d.weights, d.fresh); change > calmChange {
		d.forget(min(1, (change-calmChange)/(turnChange-calmChange)))
		if now.Sub(d.turned) > settling {
			d.since = now
		}
		d.turned = now
	}
}

// Turning returns true while popularity turns and counts of before and after are mixed: what is chosen now will soon be known better.
func (d *Demand) Turning(now time.Time) bool {
	return now.Sub(d.turned) < settling && now.Sub(d.since) < settleMost
}

// memory is the half-life that applies: what was counted around a turn mixes both popularities and is outgrown fast.
func (d *Demand) memory(now time.Time) time.Duration {
	if d.turned.IsZero() {
		return d.HalfLife
	}
	return min(d.HalfLife, max(freshHalfLife, now.Sub(d.turned)/2))
}

// forget takes a part of what is older than the fresh counts out of the weights.
func (d *Demand) forget(part float64) {
	for i, f := range d.fresh {
		d.weights[i] = f + (1-part)*max(0, d.weights[i]-f)
	}
}

// distance returns how much of one distribution has to move to make the other, zero where one is empty. Over counts of several sets,
// of which each is chosen from as often, it is the mean over them.
func distance(a, b []float64) float64 {
	sa, sb := sumOf(a), sumOf(b)
	if sa <= 0 || sb <= 0 {
		return 0
	}
	out := 0.0
	for i := range a {
		out += math.Abs(a[i]/sa - b[i]/sb)
	}
	return out / 2
}

func sumOf(a []float64) float64 {
	out := 0.0
	for _, v := range a {
		out += v
	}
	return out
}

func fade(past, halfLife time.Duration) float64 {
	return min(1, math.Exp2(-past.Seconds()/halfLife.Seconds()))
}

func scale(a []float64, by float64) {
	for i := range a {
		a[i] *= by
	}
}

// Loads returns the weights by set, nil before anything was counted.
func (d *Demand) Loads(sets int) [][]float64 {
	if sumOf(d.weights) <= 0 || sets <= 0 || len(d.weights)%sets != 0 {
		return nil
	}
	each := len(d.weights) / sets
	out := make([][]float64, sets)
	for s := range out {
		out[s] = d.weights[s*each : (s+1)*each]
	}
	return out
}
