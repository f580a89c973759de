package loads

import "time"

const (
	// stepWindow is the time over which the step time is averaged: several usual steps, since an agent
	// sees the begin of a step up to one of its reads late.
	stepWindow = 500 * time.Millisecond
	// maxStepTime is the longest time between two steps that counts as a step time. A longer one is the
	// end of a stall and says nothing of the steps that follow.
	maxStepTime = 2 * time.Second
	// idleAfter is the time without a step and without known work from which a group is idle. It is
	// above the time of slow steps, since an agent without a leader doesn't know of the others' work.
	idleAfter = time.Second
	// stallBegins is the time without a step from which a group with work is stalled, above the time of
	// usual steps and of a hold for a change of the map.
	stallBegins = 250 * time.Millisecond
	// stallEnds is how long a group without work counts as stalled unless it makes a step.
	stallEnds = 10 * time.Second
)

// Observation is what an agent reads of its own engine at one moment.
type Observation struct {
	Group string
	Epoch int64
	Open  bool
	// Step is the number of the last step begun.
	Step int64
	// Running and Waiting are the numbers of requests of the agent's own rank.
	Running int
	Waiting int
	// OthersBusy reports whether another rank is known to have requests.
	OthersBusy bool
}

func (o *Observation) isBusy() bool {
	return o.Running > 0 || o.Waiting > 0 || o.OthersBusy
}

// Tracker derives the condition of a group from the observations of one of its ranks. The zero value
// has observed nothing. Times run to the last observation, so that a late one is no stall.
type Tracker struct {
	known      bool
	last       Observation
	observedAt time.Time
	// stepAt is when the last step was first observed, busySince when the group was first observed with
	// work, and closedSince when it was first observed closed; the latter two are zero if it isn't.
	stepAt      time.Time
	busySince   time.Time
	closedSince time.Time
	// stalledSince is when a stall began whose requests have left since, zero if there is none. Without
	// requests there is no step that would show its end.
	stalledSince time.Time
	// seen holds the steps observed within stepWindow and the one before them.
	seen []seenStep
}

type seenStep struct {
	step int64
	at   time.Time
}

// Observe takes an observation made at now.
func (t *Tracker) Observe(now time.Time, o Observation) {
	if !t.known || o.Group != t.last.Group || o.Epoch != t.last.Epoch || o.Step < t.last.Step {
		t.reset(now, o)
	}
	stepped := o.Step > t.last.Step
	if !o.isBusy() && !t.busySince.IsZero() && t.StalledFor() >= stallBegins {
		t.stalledSince = t.observedAt.Add(-t.StalledFor())
	}
	t.last, t.observedAt = o, now
	if stepped || now.Sub(t.stalledSince) > stallEnds {
		t.stalledSince = time.Time{}
	}
	t.busySince = since(t.busySince, now, o.isBusy())
	t.closedSince = since(t.closedSince, now, !o.Open)
	if stepped {
		t.addStep(now, o.Step)
		return
	}
	if !o.isBusy() && now.Sub(t.stepAt) >= idleAfter {
		t.seen = nil
	}
}

// reset forgets an earlier epoch. How long the group has been closed is kept, since a group that forms
// anew may be closed in both.
func (t *Tracker) reset(now time.Time, o Observation) {
	if o.Group != t.last.Group {
		t.closedSince = time.Time{}
	}
	t.known = true
	t.last = o
	t.stepAt = now
	t.busySince = time.Time{}
	t.stalledSince = time.Time{}
	t.seen = nil
}

// since returns the begin of a condition that holds at now, zero if it doesn't.
func since(before, now time.Time, holds bool) time.Time {
	switch {
	case !holds:
		return time.Time{}
	case before.IsZero():
		return now
	default:
		return before
	}
}

func (t *Tracker) addStep(now time.Time, step int64) {
	// Without work at the last step the time until this one was not that of a step.
	if now.Sub(t.stepAt) > maxStepTime || t.busySince.After(t.stepAt) {
		t.seen = nil
	}
	t.stepAt = now
	t.seen = append(t.seen, seenStep{
		step: step,
		at:   now,
	})
	for len(t.seen) > 2 && now.Sub(t.seen[1].at) >= stepWindow {
		t.seen = t.seen[1:]
	}
}

// StepTime returns the mean duration of the last few steps, zero while unknown.
func (t *Tracker) StepTime() time.Duration {
	if len(t.seen) < 2 {
		return 0
	}
	first, last := t.seen[0], t.seen[len(t.seen)-1]
	return last.at.Sub(first.at) / time.Duration(last.step-first.step)
}

// StalledFor returns the time since the last step was first observed, or since there is work if that
// is later; zero if the group has no work, unless all of it left a stalled group. A hold for a change of
// the map counts like any other time.
func (t *Tracker) StalledFor() time.Duration {
	if !t.stalledSince.IsZero() {
		return t.observedAt.Sub(t.stalledSince)
	}
	if t.busySince.IsZero() {
		return 0
	}
	begin := t.stepAt
	if t.busySince.After(begin) {
		begin = t.busySince
	}
	return t.observedAt.Sub(begin)
}

// ClosedFor returns the time since the group was first observed closed, zero if it is open.
func (t *Tracker) ClosedFor() time.Duration {
	if t.closedSince.IsZero() {
		return 0
	}
	return t.observedAt.Sub(t.closedSince)
}

// Group returns the condition at the last observation, without loads of ranks.
func (t *Tracker) Group() Group {
	return Group{
		Name:       t.last.Group,
		Epoch:      t.last.Epoch,
		Open:       t.last.Open,
		ClosedFor:  t.ClosedFor(),
		StepTime:   t.StepTime(),
		StalledFor: t.StalledFor(),
	}
}

// ObservedAt returns the time of the last observation, zero if there was none.
func (t *Tracker) ObservedAt() time.Time {
	return t.observedAt
}
