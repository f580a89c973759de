package group

import (
	"testing"
	"time"

	"geraniumpass/core"
	"geraniumpass/proto"
	"geraniumpass/wire"
)

// TestStartsAreSentOnceALink guards against a leader whose link is filled by the incarnations of all
// ranks in every heartbeat, and against a rank that never gets them after a change.
func TestStartsAreSentOnceALink(t *testing.T) {
	now := time.Unix(1_000, 0)
	ones := []float64{1, 1}
	k := newRankLoads(2)
	a, b := &wire.Link{}, &wire.Link{}
	send := func(l *wire.Link) bool {
		k.update(now, ones, ones)
		return k.message(l).Starts != nil
	}
	k.observe(now, 0, core.Start{ID: "i-0"}, &proto.GroupRank{})
	if !send(a) || send(a) || !send(b) {
		t.Error("not sent exactly once a link")
	}
	k.observe(now, 0, core.Start{ID: "i-0"}, &proto.GroupRank{Running: 4})
	if send(a) {
		t.Error("sent again although no incarnation changed")
	}
	k.observe(now, 1, core.Start{ID: "i-1"}, &proto.GroupRank{})
	if !send(a) || !send(b) {
		t.Error("not sent after a change")
	}
	k.forgetLink(a)
	if !send(a) {
		t.Error("not sent on a link that was replaced")
	}
}

// TestUnheardRankLooksLikeTheOthers guards against a rank whose agent is gone and that draws all
// requests because it looks empty, or that keeps its idle group busy for good and so stalled.
func TestUnheardRankLooksLikeTheOthers(t *testing.T) {
	tests := []struct {
		name   string
		others int
		want   byte
	}{
		{"the others are busy", 8, 8},
		{"the others are idle", 0, 0},
	}
	ones := []float64{1, 1, 1}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now := time.Unix(1_000, 0)
			k := newRankLoads(3)
			k.observe(now, 0, core.Start{}, &proto.GroupRank{Running: 3, Waiting: 9})
			now = now.Add(loadTTL)
			k.observe(now, 1, core.Start{}, &proto.GroupRank{Running: tt.others})
			k.observe(now, 2, core.Start{}, &proto.GroupRank{Running: tt.others})
			k.update(now, ones, ones)
			m := k.message(&wire.Link{})
			if m.Running[0] != tt.want || m.Waiting[0] != 0 {
				t.Errorf("%d running and %d waiting, want %d and 0", m.Running[0], m.Waiting[0], tt.want)
			}
		})
	}
}
