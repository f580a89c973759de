package group

import (
	"context"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"geraniumpass/core"
	"geraniumpass/loads"
	"geraniumpass/proto"
	"geraniumpass/wire"
)

// TestLoadIsCheckedWhenDueOrChanged guards against a small core that wakes tens of times a second although
// nothing can have changed, and against a change that is told late because no check follows it.
func TestLoadIsCheckedWhenDueOrChanged(t *testing.T) {
	clock := clockwork.NewFakeClock()
	a := NewAgent(&steppingEngine{group: newSteppingGroup()}, clock, hclog.NewNullLogger())
	isNotified := func() bool {
		select {
		case <-a.publisher.changed:
			return true
		default:
			return false
		}
	}
	if got := a.publish(); got != idlePublishInterval {
		t.Errorf("next check in %s without a report", got)
	}
	a.poll(context.Background())
	if !isNotified() {
		t.Error("a report causes no check")
	}
	for _, step := range []struct {
		elapsed time.Duration
		want    time.Duration
	}{
		{want: idlePublishInterval},
		{elapsed: 30 * time.Millisecond, want: idlePublishInterval - 30*time.Millisecond},
		{elapsed: idlePublishInterval, want: idlePublishInterval},
	} {
		clock.Advance(step.elapsed)
		if got := a.publish(); got != step.want {
			t.Errorf("after %s: next check in %s, want %s", step.elapsed, got, step.want)
		}
	}
	l := &wire.Link{}
	a.leader = l
	order := &proto.GroupOrder{
		Group: "g",
		Loads: loads.EncodeRanks([]loads.Rank{{Start: core.Start{ID: "i-0"}}, {Start: core.Start{ID: "i-1"}}}, 1, true),
	}
	a.storeLoads(l, &loads.Decoder{}, order)
	if !isNotified() {
		t.Error("loads of the leader cause no check")
	}
	a.publisher.subscribe(l)
	if !isNotified() {
		t.Error("a subscription causes no check")
	}
}
