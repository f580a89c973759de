package feed

import (
	"testing"
	"time"

	"geraniumpass/core"
	"geraniumpass/loads"
)

// TestRepeatedStatusIsPassedOnSeldom guards against an entry that does work for all ranks of a group with
// each status, and against one that misses that a group has other instances or another name.
func TestRepeatedStatusIsPassedOnSeldom(t *testing.T) {
	statusOf := func(name, id string) *loads.Group {
		return &loads.Group{
			Name:  name,
			Ranks: []loads.Rank{{Start: core.Start{ID: id}}},
		}
	}
	steps := []struct {
		name    string
		elapsed time.Duration
		group   *loads.Group
		want    bool
	}{
		{name: "first", group: statusOf("g", "a"), want: true},
		{name: "same", elapsed: 100 * time.Millisecond, group: statusOf("g", "a")},
		{name: "another instance", group: statusOf("g", "b"), want: true},
		{name: "another group", group: statusOf("h", "b"), want: true},
		{name: "without leader", group: &loads.Group{Name: "h"}, want: true},
		{name: "same, soon", elapsed: postInterval - 1, group: &loads.Group{Name: "h"}},
		{name: "same, later", elapsed: 1, group: &loads.Group{Name: "h"}, want: true},
	}
	var p posted
	now := testStart
	for _, s := range steps {
		now = now.Add(s.elapsed)
		if got := p.isDue(now, s.group); got != s.want {
			t.Errorf("%s: passed on: %v", s.name, got)
		}
	}
}

// TestStatusesOfIdleGroupsArePassedOn guards against a group that counts as lost because every second status
// comes a little early and is not passed on: agents send one each 300 ms while a group is idle.
func TestStatusesOfIdleGroupsArePassedOn(t *testing.T) {
	const (
		interval = 300 * time.Millisecond
		jitter   = 20 * time.Millisecond
	)
	var p posted
	now := testStart
	for i := range 20 {
		if i%2 > 0 {
			now = now.Add(interval + jitter)
		} else {
			now = now.Add(interval - jitter)
		}
		if !p.isDue(now, &loads.Group{Name: "g"}) {
			t.Errorf("status %d is not passed on", i)
		}
	}
}
