package agent

import (
	"testing"
	"time"

	"geraniumpass/core"
	"geraniumpass/proto"
	"geraniumpass/wire"
)

func TestLeavingAgentAnswersRepeatedClaim(t *testing.T) {
	up := &fakeUpstream{runs: make(map[string]int), parts: 1}
	a, _ := startAgent(t, up)
	l := dial(t, a, wire.RoleEntry, 7)
	l.send(t, dispatch(a, 1, "key"))
	if f := l.next(t); f.Answer == nil {
		t.Fatalf("got %+v, want an answer", f)
	}
	l.next(t)
	l.send(t, &proto.Frame{Drain: &proto.Drain{RequestedBy: "operator"}})
	l.send(t, dispatch(a, 2, "key"))
	if f := l.next(t); f.Answer == nil || f.Answer.N != 2 {
		t.Errorf("got %+v for a retry at a leaving agent, want the answer of the first run", f)
	}
	l.next(t)
	l.send(t, dispatch(a, 3, "new key"))
	if f := l.next(t); f.Refused == nil || !f.Refused.ClaimClosed || f.Refused.Reason != core.ReasonLeaving {
		t.Errorf("got %+v for a new claim, want a refusal that lets it move", f.Refused)
	}
	if n := up.count("request-key"); n != 1 {
		t.Errorf("ran %d times, want once", n)
	}
}

func TestClosedAttemptDoesNotDelayStop(t *testing.T) {
	up := &fakeUpstream{runs: make(map[string]int), parts: 1}
	a, _ := startAgent(t, up)
	l := dial(t, a, wire.RoleEntry, 7)
	l.send(t, dispatch(a, 1, ""))
	l.next(t)
	l.next(t)
	if !a.hasUnackedAnswers() {
		t.Fatal("unacknowledged answer is not reported as such")
	}
	// The entry closed the attempt while its link was down, so neither an ack nor a cancel arrived.
	l.send(t, &proto.Frame{Heartbeat: &proto.Heartbeat{Floor: 2}})
	end := time.Now().Add(testTimeout)
	for a.hasUnackedAnswers() {
		if time.Now().After(end) {
			t.Fatal("closed attempt still counts as unacknowledged")
		}
		l.sync(t)
	}
}

// TestStoppingAgentRefusesInFlightDispatch guards against losing a dispatch from an entry that has
// not yet learned that the agent is leaving: the dispatch must be refused as not run instead of
// being lost with the link.
func TestStoppingAgentRefusesInFlightDispatch(t *testing.T) {
	up := &fakeUpstream{runs: make(map[string]int), parts: 1}
	a, stop := startAgent(t, up)
	l := dial(t, a, wire.RoleEntry, 7)
	l.sync(t)
	stop()
	l.awaitLeaving(t)
	// An idle agent that did not wait for acknowledgements would have exited long before this.
	<-time.After(300 * time.Millisecond)
	l.send(t, dispatch(a, 1, ""))
	f := l.next(t)
	if f.Refused == nil || f.Refused.Outcome != core.OutcomeNotRun || up.count("request-") != 0 {
		t.Errorf("got %+v after %d runs, want a refusal", f, up.count("request-"))
	}
	l.send(t, &proto.Frame{Heartbeat: &proto.Heartbeat{LeavingAck: true}})
	end := time.Now().Add(testTimeout)
	for a.sessions.awaitingLeavingAck() {
		if time.Now().After(end) {
			t.Fatal("agent still waits after the entry acknowledged that it leaves")
		}
		<-time.After(time.Millisecond)
	}
}
