package agent

import (
	"time"

	"geraniumpass/check"
	"geraniumpass/core"
	"geraniumpass/proto"
)

// answerAckTimeout bounds how long a stopping agent waits for entries to acknowledge finished
// answers.
const answerAckTimeout = 10 * time.Second

// leave refuses all new work from now on, sheds the queue and notifies every link. It cannot be
// undone in this incarnation.
func (a *Agent) leave(reason string) {
	if !a.leaving.CompareAndSwap(false, true) {
		return
	}
	a.leavingSince.Store(a.clock.Now().UnixNano())
	a.log.Info("agent leaving", "why", reason)
	a.broadcastReport()
	a.schedMu.Lock()
	waiting := a.queue.Drain()
	a.schedMu.Unlock()
	a.shed(waiting, core.ReasonLeaving)
}

func (a *Agent) broadcastReport() {
	for _, l := range a.sessions.all() {
		_ = l.Send(&proto.Frame{Report: a.report()})
	}
}

// leavingAckTimeout bounds how long a stopping agent waits for entries to acknowledge that it
// leaves. It exceeds the heartbeat interval of a slow entry.
const leavingAckTimeout = 3 * time.Second

// awaitLeavingAcks waits until every linked entry has acknowledged that the agent leaves, or until
// leavingAckTimeout. Dispatches sent before an acknowledgement have then arrived and are refused or
// run.
func (a *Agent) awaitLeavingAcks() {
	end := a.clock.Now().Add(leavingAckTimeout)
	for a.clock.Now().Before(end) && a.sessions.awaitingLeavingAck() {
		a.clock.Sleep(tickInterval / 10)
	}
}

// drain leaves, waits for running attempts to finish, then up to answerAckTimeout for their answers
// to be acknowledged.
func (a *Agent) drain() {
	a.leave("stop")
	a.awaitLeavingAcks()
	a.inFlight.Wait()
	a.schedMu.Lock()
	running := a.running
	a.schedMu.Unlock()
	check.Assert(check.GracefulStop, running == 0, "%d attempts still running at the end of a graceful stop", running)
	end := a.clock.Now().Add(answerAckTimeout)
	for a.clock.Now().Before(end) && a.hasUnackedAnswers() {
		a.clock.Sleep(tickInterval / 10)
	}
}

// hasUnackedAnswers reports whether an entry has yet to acknowledge the end of a run that it reads.
func (a *Agent) hasUnackedAnswers() bool {
	found := false
	a.runs.each(func(r *run) {
		found = found || r.hasUnackedParts(a.sessions)
	})
	return found
}

func (a *Agent) checkHealth() {
	leaving, err := a.upstream.Leaving()
	healthy := err == nil && a.failStalled() == 0
	if a.healthy.Swap(healthy) != healthy {
		a.log.Warn("upstream health changed", "healthy", healthy, "error", err)
		a.broadcastReport()
	}
	if leaving {
		a.leave("upstream")
	}
}
