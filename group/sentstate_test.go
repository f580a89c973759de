package group

import (
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"geraniumpass/shift"
	"geraniumpass/wire"
)

// reporting returns an agent whose report is known, with a leader.
func reporting(t *testing.T) (*Agent, *clockwork.FakeClock) {
	t.Helper()
	clock := clockwork.NewFakeClock()
	g := newSteppingGroup()
	a := NewAgent(&steppingEngine{group: g}, clock, hclog.NewNullLogger())
	a.leader = dialAgent(t, startAgent(t, g, 0), wire.RoleAgent)
	a.countsLen = int(time.Hour / countsIntervalPerCount)
	a.countsSentAt = clock.Now()
	a.report = Report{Group: "g"}
	a.sendState()
	return a, clock
}

// TestLeaderHearsChangesAndSignsOfLife guards against a leader that gets each state of its ranks twice, which
// of all its messages are most, and against one that misses a change or takes a rank for silent.
func TestLeaderHearsChangesAndSignsOfLife(t *testing.T) {
	steps := []struct {
		name    string
		elapsed time.Duration
		change  func(a *Agent)
		want    bool
	}{
		{name: "unchanged", elapsed: busyPollInterval},
		{name: "a step", change: func(a *Agent) { a.report.Step++ }, want: true},
		{name: "a request", change: func(a *Agent) { a.report.Running++ }, want: true},
		{name: "a hold", change: func(a *Agent) { a.report.Held = 7 }, want: true},
		{name: "its pace", change: func(a *Agent) { a.report.Pace = 3 }, want: true},
		{name: "unchanged for long", elapsed: stateRepeatInterval, want: true},
		{name: "popularity has shifted", change: func(a *Agent) { a.urgent = true }, want: true},
		{name: "a new link", change: func(a *Agent) { a.sent.link = nil }, want: true},
		{name: "an answer to an order", change: func(a *Agent) {
			a.answerOrder(a.leader, 1, shift.Order{Op: shift.OpRelease, Step: 3}, nil)
		}, want: true},
	}
	a, clock := reporting(t)
	for _, s := range steps {
		clock.Advance(s.elapsed + time.Millisecond)
		if s.change != nil {
			s.change(a)
		}
		a.sendState()
		if sent := a.sent.at.Equal(clock.Now()); sent != s.want {
			t.Errorf("%s: sent %v, want %v", s.name, sent, s.want)
		}
	}
}

// TestLeaderHearsEachStepOnce guards against messages to the leader that grow with how often engines are read
// instead of with what they do.
func TestLeaderHearsEachStepOnce(t *testing.T) {
	const stepTime, played = 120 * time.Millisecond, 12 * time.Second
	a, clock := reporting(t)
	began, sent := clock.Now(), 0
	for clock.Since(began) < played {
		clock.Advance(busyPollInterval)
		a.report.Step = int64(clock.Since(began) / stepTime)
		a.sendState()
		if a.sent.at.Equal(clock.Now()) {
			sent++
		}
	}
	if most := int(played / stepTime); sent > most {
		t.Errorf("%d messages in %d steps", sent, most)
	}
}
