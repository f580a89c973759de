package agent

import (
	"time"

	"geraniumpass/check"
	"geraniumpass/core"
	"geraniumpass/proto"
)

// finishTime bounds how long a stopping agent waits for entries to take what is finished.
const finishTime = 10 * time.Second

// leave refuses all new work from now on and tells every link; it can't be taken back in this incarnation.
func (a *Agent) leave(why string) {
	if !a.leaving.CompareAndSwap(false, true) {
		return
	}
	a.leftAt.Store(a.clock.Now().UnixNano())
	a.log.Info("leaving", "why", why)
	a.tell()
	a.sched.Lock()
	waiting := a.queue.Drain()
	a.sched.Unlock()
	a.shed(waiting, core.ReasonLeaving)
}

func (a *Agent) tell() {
	for _, l := range a.sessions.all() {
		_ = l.Send(&proto.Frame{Report: a.report()})
	}
}

// heardTime bounds how long a stopping agent waits for entries to hear of it: longer than the beat of one that is slow.
const heardTime = 3 * time.Second

// awaitHeard waits until every linked entry knows that the agent leaves: what it sent before is here then, and is refused or run.
func (a *Agent) awaitHeard() {
	end := a.clock.Now().Add(heardTime)
	for a.clock.Now().Before(end) && a.sessions.unheard() {
		a.clock.Sleep(tickEvery / 10)
	}
}

// drain leaves, waits until nothing runs and until what has run is acknowledged.
func (a *Agent) drain() {
	a.leave("stop")
	a.awaitHeard()
	a.inFlight.Wait()
	a.sched.Lock()
	running := a.running
	a.sched.Unlock()
	check.Assert(check.GracefulStop, running == 0, "%d attempts run at the end of a stop", running)
	end := a.clock.Now().Add(finishTime)
	for a.clock.Now().Before(end) && a.unread() {
		a.clock.Sleep(tickEvery / 10)
	}
}

// unread returns true while an entry has not acknowledged the end of a run that it reads.
func (a *Agent) unread() bool {
	found := false
	a.runs.each(func(r *run) {
		found = found || r.owed(a.sessions)
	})
	return found
}

func (a *Agent) checkHealth() {
	leaving, err := a.upstream.Leaving()
	healthy := err == nil && a.loseStalled() == 0
	if a.healthy.Swap(healthy) != healthy {
		a.log.Warn("upstream health changed", "healthy", healthy, "error", err)
		a.tell()
	}
	if leaving {
		a.leave("upstream")
	}
}
