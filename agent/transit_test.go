package agent

import (
	"testing"
	"time"

	"geraniumpass/core"
	"geraniumpass/proto"
	"geraniumpass/wire"
)

// TestTransitDelayReducesRemainingTime guards against running work for callers that are gone: a
// dispatch delayed in the link of a paused machine used to get its full remaining time, and ran
// after its caller had received an unknown outcome.
func TestTransitDelayReducesRemainingTime(t *testing.T) {
	// The sender's clock has a different origin than the agent's.
	const clockOffset = time.Hour
	tests := []struct {
		name   string
		waited time.Duration
		left   time.Duration
		// hasSent is false for a sender that does not report its send time.
		hasSent bool
		refuse  bool
	}{
		{"just sent", 0, time.Second, true, false},
		{"waited for less than what is left", 4 * time.Second, time.Minute, true, false},
		{"waited for longer than what is left", 4 * time.Second, time.Second, true, true},
		{"a sender that doesn't say", 4 * time.Second, time.Second, false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			up := &fakeUpstream{runs: make(map[string]int), parts: 1}
			a, _ := startAgent(t, up)
			l := dial(t, a, wire.RoleEntry, 7)
			clock := time.Now()
			sent := func() time.Duration { return clockOffset + time.Since(clock) }
			l.send(t, &proto.Frame{Heartbeat: &proto.Heartbeat{Sent: sent()}})
			l.sync(t)
			f := dispatch(a, 1, "")
			f.Dispatch.Remaining, f.Dispatch.TargetLeft = tt.left, tt.left
			if tt.hasSent {
				f.Dispatch.Sent = sent() - tt.waited
			}
			l.send(t, f)
			got := l.next(t)
			refused := got.Refused != nil && got.Refused.Outcome == core.OutcomeNotRun && got.Refused.Reason == core.ReasonDeadline
			if refused != tt.refuse {
				t.Errorf("got %+v, want a refusal as not run: %t", got, tt.refuse)
			}
			l.sync(t)
			if ran := up.count("request-") > 0; ran == tt.refuse {
				t.Errorf("ran: %t, want %t", ran, !tt.refuse)
			}
		})
	}
}

// TestTransitDelayIsRelativeToFastestMessage guards against mistaking a link with constant latency
// for one that delayed its messages.
func TestTransitDelayIsRelativeToFastestMessage(t *testing.T) {
	start := time.Unix(1_000, 0)
	tr := newTransitTracker(start)
	l := &wire.Link{}
	at := func(d time.Duration) time.Time { return start.Add(d) }
	tests := []struct {
		name     string
		sent     time.Duration
		received time.Duration
		want     time.Duration
	}{
		{"the first of a link", time.Hour, 50 * time.Millisecond, 0},
		{"as quick", time.Hour + time.Second, 1050 * time.Millisecond, 0},
		{"held up", time.Hour + 2*time.Second, 5050 * time.Millisecond, 3 * time.Second},
		{"quicker", time.Hour + 6*time.Second, 6010 * time.Millisecond, 0},
		{"as slow as the first", time.Hour + 7*time.Second, 7050 * time.Millisecond, 40 * time.Millisecond},
	}
	for _, tt := range tests {
		if got := tr.delay(l, tt.sent, at(tt.received)); got != tt.want {
			t.Errorf("%s: %v, want %v", tt.name, got, tt.want)
		}
	}
}
