package group

import (
	"time"

	"geraniumpass/shift"
)

const (
	// holdTime is how long a hold may wait for its confirmation before the switch is given up; steps stall behind it.
	holdTime = 400 * time.Millisecond
	// prepareTime is how long all ranks may take to load what a map needs: a few copies of some 400 ms.
	prepareTime = 3 * time.Second
)

// advance starts and gives up switches, and sends what the leader's phase asks for.
func (d *leading) advance() {
	now := d.m.Clock.Now()
	if own, known := d.m.Agent.Report(); known {
		d.margin.Stepped(now, own.Step)
	}
	d.noteChange(now)
	if d.leader.Phase == shift.PhaseIdle {
		d.begin()
		d.noteChange(now)
	}
	d.expire(now)
	d.noteChange(now)
	d.send(now)
}

func (d *leading) noteChange(now time.Time) {
	if d.leader.Phase != d.phase {
		d.changed(now)
	}
}

// changed notes a new phase.
func (d *leading) changed(now time.Time) {
	from := d.phase
	d.phase = d.leader.Phase
	d.entered = now
	switch {
	case d.phase == shift.PhaseHold:
		d.heldFrom = now
	case d.phase == shift.PhaseIdle && from == shift.PhaseGo:
		d.switched(now)
		d.sets, d.inUse = d.next, d.leader.Version
		if d.next == nil {
			// It was an earlier leader's switch, whose map only the ranks know.
			d.inUse = shift.None
		}
		copy(d.has, d.prepared)
		d.next = nil
	case d.phase == shift.PhaseAsk:
		d.askFrom = d.asked.Add(askEvery)
		d.asked = now
		d.next, d.inUse = nil, shift.None
		d.heldFrom = time.Time{}
		d.m.Log.Info("asking all ranks", "group", d.group, "from", from.String())
	case d.phase == shift.PhaseIdle, d.phase == shift.PhaseRelease:
		if from == shift.PhasePrepare || from == shift.PhaseHold {
			abandoned.Add(1)
			d.m.Log.Warn("switch given up", "group", d.group, "version", d.leader.Version, "from", from.String())
			d.next = nil
		}
	}
}

// switched counts a switch that is through and learns from how long its hold was needed.
func (d *leading) switched(now time.Time) {
	switches.Add(1)
	mapCopies.Add(int64(d.copies))
	held := time.Duration(0)
	if !d.heldFrom.IsZero() {
		held = now.Sub(d.heldFrom)
		d.margin.Switched(now, held)
	}
	d.heldFrom = time.Time{}
	d.m.Log.Info("map switched", "group", d.group, "version", d.leader.Version, "step", d.leader.Step, "copies", d.copies, "held", held.String())
}

// expire gives up a switch that takes too long and has armed nothing yet.
func (d *leading) expire(now time.Time) {
	waited := now.Sub(d.entered)
	switch d.leader.Phase {
	case shift.PhasePrepare:
		if waited > prepareTime {
			d.leader.Abandon()
		}
	case shift.PhaseHold:
		if waited > holdTime {
			d.leader.Abandon()
		}
	case shift.PhaseAsk, shift.PhaseIdle, shift.PhaseArm, shift.PhaseGo, shift.PhaseRelease:
	}
}
