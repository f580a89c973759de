package group

import (
	"context"
	"time"

	"geraniumpass/retry"
	"geraniumpass/shift"
)

const (
	// armWait is how long after a rank has confirmed a map its leader may still need it: while other ranks
	// prepare, and while the hold is confirmed.
	armWait = prepareTimeout + holdTimeout
	// flushTimeout bounds the sending of the last answers.
	flushTimeout = 100 * time.Millisecond
)

// Stop returns when this rank may leave without holding up its group, or when ctx ends. As the leader it gives
// up a switch that has armed no rank, completes any other, and leads no more. As a rank it prepares no further
// map and stays until the switch for which it has confirmed one is over.
func (m *Member) Stop(ctx context.Context) {
	m.stopping.Store(true)
	m.Agent.refuseMaps()
	for m.leading.Load() && ctx.Err() == nil {
		retry.Sleep(ctx, tickInterval)
	}
	m.Agent.leave(ctx)
}

// resign gives up the present switch if the process stops, and reports whether this rank leads no more.
func (d *leadership) resign() bool {
	if !d.m.stopping.Load() {
		return false
	}
	d.leader.Abandon()
	if d.owesOrders() {
		return false
	}
	d.m.Agent.forgetConfirmed()
	d.m.Log.Info("leading no more because the process stops", "group", d.group, "fence", d.leader.Fence)
	return true
}

// owesOrders reports whether the ranks need a further order of this leader.
func (d *leadership) owesOrders() bool {
	switch d.leader.Phase {
	case shift.PhaseIdle:
		return d.hasOrders()
	case shift.PhaseAsk:
		// The next leader asks all ranks as well. Only this process can end a hold of its own rank.
		own, known := d.m.Agent.Report()
		return known && own.Held != shift.None
	case shift.PhasePrepare, shift.PhaseHold, shift.PhaseArm, shift.PhaseGo, shift.PhaseRelease:
	}
	return true
}

func (d *leadership) hasOrders() bool {
	for _, o := range d.leader.Orders() {
		if o.Op != 0 {
			return true
		}
	}
	return false
}

// refuseMaps makes the rank prepare no further map, so that no further switch needs it.
func (a *Agent) refuseMaps() {
	a.orderMu.Lock()
	defer a.orderMu.Unlock()
	a.refusesMaps = true
}

// forgetConfirmed records that no leader needs this rank for a map that it has prepared.
func (a *Agent) forgetConfirmed() {
	a.orderMu.Lock()
	defer a.orderMu.Unlock()
	a.confirmedAt = time.Time{}
}

// leave waits until no switch needs this rank, or until ctx ends, and then takes no further orders.
func (a *Agent) leave(ctx context.Context) {
	for ctx.Err() == nil && !a.tryLeave(ctx) {
		retry.Sleep(ctx, orderPollInterval)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for l := range a.links {
		l.Flush(flushTimeout)
	}
}

// tryLeave stops taking orders and reports true unless a switch needs this rank.
func (a *Agent) tryLeave(ctx context.Context) bool {
	a.orderMu.Lock()
	defer a.orderMu.Unlock()
	rep, err := a.readReport(ctx)
	if err != nil || a.isNeeded(rep.State) {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for o := range a.inFlight {
		if o.Op != shift.OpPrepare {
			return false
		}
	}
	a.left = true
	return true
}

// isNeeded reports whether a switch needs this rank. The caller holds orderMu.
func (a *Agent) isNeeded(s shift.State) bool {
	if s.Held != shift.None {
		return true
	}
	hasMap := s.Prepared == a.confirmed || s.Armed == a.confirmed
	return hasMap && a.Clock.Since(a.confirmedAt) < armWait
}
