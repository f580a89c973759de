package agent

import (
	"testing"
	"time"

	"geraniumpass/core"
	"geraniumpass/proto"
	"geraniumpass/wire"
)

func TestLeavingAgentStillAnswersForWhatItRan(t *testing.T) {
	up := &fakeUpstream{runs: make(map[string]int), parts: 1}
	a, _ := startAgent(t, up)
	l := dial(t, a, wire.RoleEntry, 7)
	l.send(t, dispatch(a, 1, "key"))
	if f := l.next(t); f.Answer == nil {
		t.Fatalf("got %+v, want an answer", f)
	}
	l.next(t)
	l.send(t, &proto.Frame{Drain: &proto.Drain{Who: "operator"}})
	l.send(t, dispatch(a, 2, "key"))
	if f := l.next(t); f.Answer == nil || f.Answer.N != 2 {
		t.Errorf("got %+v for a repeat at a leaving agent, want the answer of the first run", f)
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

func TestClosedAttemptDoesNotHoldUpAStop(t *testing.T) {
	up := &fakeUpstream{runs: make(map[string]int), parts: 1}
	a, _ := startAgent(t, up)
	l := dial(t, a, wire.RoleEntry, 7)
	l.send(t, dispatch(a, 1, ""))
	l.next(t)
	l.next(t)
	if !a.unread() {
		t.Fatal("the answer is not acknowledged, so that it must be owed")
	}
	// The entry closed the attempt while its link was down: neither an acknowledgement nor a cancel came.
	l.send(t, &proto.Frame{Heartbeat: &proto.Heartbeat{Floor: 2}})
	end := time.Now().Add(testLimit)
	for a.unread() {
		if time.Now().After(end) {
			t.Fatal("a closed attempt is still owed")
		}
		l.sync(t)
	}
}

// TestStoppingAgentRefusesWhatWasOnItsWay plays an entry that is slow to hear that the agent leaves: what it sends meanwhile must be
// refused as not run, not lost with the link.
func TestStoppingAgentRefusesWhatWasOnItsWay(t *testing.T) {
	up := &fakeUpstream{runs: make(map[string]int), parts: 1}
	a, stop := startAgent(t, up)
	l := dial(t, a, wire.RoleEntry, 7)
	l.sync(t)
	stop()
	l.awaitLeaving(t)
	// Well after an agent with nothing to do would have ended.
	<-time.After(300 * time.Millisecond)
	l.send(t, dispatch(a, 1, ""))
	f := l.next(t)
	if f.Refused == nil || f.Refused.Outcome != core.OutcomeNotRun || up.count("request-") != 0 {
		t.Errorf("got %+v after %d runs, want a refusal", f, up.count("request-"))
	}
	l.send(t, &proto.Frame{Heartbeat: &proto.Heartbeat{Heard: true}})
	end := time.Now().Add(testLimit)
	for a.sessions.unheard() {
		if time.Now().After(end) {
			t.Fatal("the agent still waits though its leaving was heard")
		}
		<-time.After(time.Millisecond)
	}
}
