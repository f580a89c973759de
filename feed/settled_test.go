package feed

import (
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"geraniumpass/core"
	"geraniumpass/loads"
	"geraniumpass/plan"
	"geraniumpass/view"
)

// TestSettledFeedIsLookedThroughSeldom guards against an entry that wakes tens of times a second to find
// that no agent is missing, and against one that then takes as long to replace an agent.
func TestSettledFeedIsLookedThroughSeldom(t *testing.T) {
	clock, log := clockwork.NewFakeClock(), hclog.NewNullLogger()
	f := &Feeder{
		View:  view.NewCache("front-1", clock, log),
		Clock: clock,
		Log:   log,
	}
	s := newSession(f)
	s.selection = newEntry(1, "a", agentsIn(2), led).selection
	check := func(when string, want time.Duration) {
		t.Helper()
		if got := s.interval(); got != want {
			t.Errorf("%s: looked through every %s, want %s", when, got, want)
		}
	}
	check("without a list of instances", selectInterval)
	table := &plan.Table{
		Version: 1,
		Services: []plan.Service{{
			Name:   "lm",
			Engine: &plan.Engine{Sets: 2},
		}},
	}
	f.View.Apply(view.Change{
		Rev:   1,
		Full:  true,
		Table: table.Compile(),
		Put: []core.Instance{{
			ID:      "i-0-0",
			Service: "lm",
			Address: "10.0.0.0:1",
		}},
	})
	s.snapshot = f.View.Now()
	check("without subscriptions", selectInterval)
	e := newEntry(1, "a", agentsIn(2), led)
	e.run(10 * time.Second)
	s.selection = e.selection
	check("with all subscriptions", settledInterval)
	lost := e.live()[0]
	sub := &subscription{
		agent:  lost.agent,
		cancel: func() {},
	}
	s.subscriptions[lost.address] = sub
	if !s.handle(event{from: sub, reason: endSilent}) {
		t.Error("the end of a subscription is not acted on at once")
	}
	check("with a subscription missing", selectInterval)
}

// TestAgentsOutsideGroupsAreNoWork guards against an entry that looks through its feeds all the time because
// some instances are in no group, as when there are fewer than a group has ranks.
func TestAgentsOutsideGroupsAreNoWork(t *testing.T) {
	agents := append(agentsIn(2), agentAt(2, 0), agentAt(2, 1))
	silent := func(a agent) *loads.Group {
		if a.start == startOf(2, 0) || a.start == startOf(2, 1) {
			return nil
		}
		return led(a)
	}
	e := newEntry(1, "a", agents, silent)
	e.run(10 * time.Second)
	settled := 0
	const looks = 200
	for range looks {
		if e.isSettled(e.now) {
			settled++
		}
		e.run(selectInterval)
	}
	if settled < looks*9/10 {
		t.Errorf("settled at %d of %d looks", settled, looks)
	}
}
