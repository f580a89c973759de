package group

import (
	"math"
	"testing"
	"time"

	"geraniumpass/core"
	"geraniumpass/outage"
	"geraniumpass/proto"
	"geraniumpass/wire"
)

// TestStartsAreSentOnceALink guards against a leader whose link is filled by the incarnations of all
// ranks in every heartbeat, and against a rank that never gets them after a change.
func TestStartsAreSentOnceALink(t *testing.T) {
	now := time.Unix(1_000, 0)
	ones := []float64{1, 1}
	k := newRankLoads(now, 2)
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
			k := newRankLoads(now, 3)
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

// TestRestartedRankIsNamedByItsStart guards against entries that know no group of an instance that restarted,
// and send it requests while its group is closed, until the leader lists the instances again.
func TestRestartedRankIsNamedByItsStart(t *testing.T) {
	listed := core.Start{ID: "i-0", StartedAt: 100}
	tests := []struct {
		name   string
		listed core.Start
		engine int64
		want   core.Start
	}{
		{"the listed one", listed, 100, listed},
		{"restarted", listed, 200, core.Start{ID: "i-0", StartedAt: 200}},
		{"a late report of the one before", listed, 50, listed},
		{"an older build, which reports no start", listed, 0, listed},
		{"not listed", core.Start{}, 200, core.Start{}},
		{"listed without a start", core.Start{ID: "i-0"}, 200, core.Start{ID: "i-0"}},
	}
	for _, tt := range tests {
		if got := startOf(tt.listed, &proto.GroupRank{EngineStart: tt.engine}); got != tt.want {
			t.Errorf("%s: got %+v, want %+v", tt.name, got, tt.want)
		}
	}
}

// TestReturnOfRanks guards against a forming time that counts from before the ranks were back, or from when a
// new leader heard of it, so that callers are told times that are off by seconds.
func TestReturnOfRanks(t *testing.T) {
	begin := time.Unix(1_000, 0)
	tests := []struct {
		name string
		// heard is when rank 1 was last heard before, zero if never, and back when it is heard again.
		heard    time.Duration
		back     time.Duration
		readable time.Duration
		want     time.Duration
	}{
		{"cut off, new leader", 0, 5 * time.Second, time.Hour, 0},
		{"cut off", 2 * time.Second, 5 * time.Second, time.Hour, 0},
		{"restarted", 2 * time.Second, 5 * time.Second, 60 * time.Millisecond, 60 * time.Millisecond},
		{"restarted, new leader", 0, 5 * time.Second, 60 * time.Millisecond, 60 * time.Millisecond},
		{"there before the leader", 0, 200 * time.Millisecond, 700 * time.Millisecond, 700 * time.Millisecond},
		{"an older build", 2 * time.Second, 5 * time.Second, 0, 0},
	}
	ones := []float64{1, 1}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			k := newRankLoads(begin, 2)
			if tt.heard > 0 {
				k.observe(begin.Add(tt.heard), 1, core.Start{}, &proto.GroupRank{})
			}
			now := begin
			for ; now.Sub(begin) < tt.back; now = now.Add(heartbeatInterval) {
				k.observe(now, 0, core.Start{}, &proto.GroupRank{ReadableMs: time.Hour.Milliseconds()})
			}
			if k.countMissing(now) == 0 {
				t.Fatal("a silent rank doesn't count as missing")
			}
			k.observe(now, 1, core.Start{}, &proto.GroupRank{ReadableMs: tt.readable.Milliseconds()})
			k.update(now, ones, ones)
			if got := time.Duration(k.bare.BackMs) * time.Millisecond; k.bare.Missing == nil || *k.bare.Missing != 0 || got != tt.want {
				t.Errorf("ranks are back for %s, want %s", got, tt.want)
			}
		})
	}
}

// TestNonsenseTimeIsNoReturn guards against one rank's report with a nonsensical time after which a leader never
// tells again when ranks were back.
func TestNonsenseTimeIsNoReturn(t *testing.T) {
	ones := []float64{1, 1}
	for _, readable := range []int64{-1_000_000, math.MinInt64, math.MaxInt64, math.MaxInt64 / 2_000_000} {
		now := time.Unix(1_000, 0)
		k := newRankLoads(now, 2)
		now = now.Add(time.Minute)
		k.observe(now, 0, core.Start{}, &proto.GroupRank{})
		k.observe(now, 1, core.Start{}, &proto.GroupRank{ReadableMs: readable})
		now = now.Add(missingAfter)
		k.observe(now, 0, core.Start{}, &proto.GroupRank{})
		k.observe(now, 1, core.Start{}, &proto.GroupRank{})
		now = now.Add(200 * time.Millisecond)
		k.update(now, ones, ones)
		if k.bare.BackMs != 200 {
			t.Errorf("readable for %d ms: ranks are back for %d ms, want 200", readable, k.bare.BackMs)
		}
	}
}

// TestNewLeaderTellsNoMissingRanks guards against an outage that agents see at each change of the leader, which
// has not heard the ranks yet.
func TestNewLeaderTellsNoMissingRanks(t *testing.T) {
	now := time.Unix(1_000, 0)
	k := newRankLoads(now, 2)
	k.observe(now, 0, core.Start{}, &proto.GroupRank{})
	if got := k.countMissing(now.Add(newLeaderGrace - 1)); got != outage.MissingUnknown {
		t.Errorf("%d ranks are missing as the term begins, want unknown", got)
	}
	if got := k.countMissing(now.Add(newLeaderGrace)); got != 2 {
		t.Errorf("%d ranks are missing after %s, want 2", got, newLeaderGrace)
	}
}
