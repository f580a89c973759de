package group

import (
	"time"

	"geraniumpass/shift"
)

const (
	// holdTimeout is how long a hold may stay unconfirmed before the switch is abandoned; steps
	// stall behind the hold.
	holdTimeout = 400 * time.Millisecond
	// prepareTimeout is how long all ranks may take to load the experts of a map: a few copies of
	// about 400 ms.
	prepareTimeout = 3 * time.Second
)

// advance starts and abandons switches and sends the orders of the current phase.
func (d *leadership) advance() {
	now := d.m.Clock.Now()
	if own, known := d.m.Agent.Report(); known {
		d.margin.ObserveStep(now, own.Step)
	}
	d.checkPhase(now)
	if d.leader.Phase == shift.PhaseIdle {
		d.beginSwitch()
		d.checkPhase(now)
	}
	d.abandonOverdue(now)
	d.checkPhase(now)
	d.sendOrders(now)
}

func (d *leadership) checkPhase(now time.Time) {
	if d.leader.Phase != d.phase {
		d.handlePhaseChange(now)
	}
}

// handlePhaseChange updates the bookkeeping after a change of phase.
func (d *leadership) handlePhaseChange(now time.Time) {
	from := d.phase
	d.phase = d.leader.Phase
	d.phaseSince = now
	switch {
	case d.phase == shift.PhaseHold:
		d.holdSince = now
		d.holdToGo = 0
	case d.phase == shift.PhaseGo:
		d.recordGo(now)
	case d.phase == shift.PhaseIdle && from == shift.PhaseGo:
		d.recordSwitch(now)
		d.sets, d.inUse = d.nextSets, d.leader.Version
		if d.nextSets == nil {
			// An earlier leader started this switch; only the ranks know its map.
			d.inUse = shift.None
		}
		copy(d.baseMap, d.prepared)
		d.nextSets = nil
	case d.phase == shift.PhaseAsk:
		d.askNotBefore = d.askedAt.Add(askInterval)
		d.askedAt = now
		d.nextSets, d.inUse = nil, shift.None
		d.holdSince, d.holdToGo = time.Time{}, 0
		d.m.Log.Info("querying all ranks", "group", d.group, "from", from.String())
	case d.phase == shift.PhaseIdle, d.phase == shift.PhaseRelease:
		if from == shift.PhasePrepare || from == shift.PhaseHold {
			switchesAbandoned.Add(1)
			d.m.Log.Warn("map switch abandoned", "group", d.group, "version", d.leader.Version, "from", from.String())
			d.nextSets = nil
		}
	}
}

// recordGo counts the time from the order of a hold to the order that ends it, unless another leader
// ordered the hold.
func (d *leadership) recordGo(now time.Time) {
	if d.holdSince.IsZero() {
		return
	}
	d.holdToGo = now.Sub(d.holdSince)
	holdTimes.Add(holdTimeBucket(d.holdToGo), 1)
}

// recordSwitch counts a completed switch and reports the duration of its hold to the margin.
func (d *leadership) recordSwitch(now time.Time) {
	mapSwitches.Add(1)
	mapCopies.Add(int64(d.copies))
	held := time.Duration(0)
	if !d.holdSince.IsZero() {
		held = now.Sub(d.holdSince)
		d.margin.ObserveSwitch(now, held)
	}
	d.holdSince = time.Time{}
	d.m.Log.Info("map switched", "group", d.group, "version", d.leader.Version, "step", d.leader.Step, "copies", d.copies,
		"hold_to_go", d.holdToGo.String(), "held", held.String())
}

// abandonOverdue abandons a switch that exceeds its timeout before any rank is armed.
func (d *leadership) abandonOverdue(now time.Time) {
	waited := now.Sub(d.phaseSince)
	switch d.leader.Phase {
	case shift.PhasePrepare:
		if waited > prepareTimeout {
			d.leader.Abandon()
		}
	case shift.PhaseHold:
		if waited > holdTimeout {
			d.leader.Abandon()
		}
	case shift.PhaseAsk, shift.PhaseIdle, shift.PhaseArm, shift.PhaseGo, shift.PhaseRelease:
	}
}
