package loads

import (
	"bytes"
	"errors"
	"math"
	"reflect"
	"testing"
	"time"

	"geraniumpass/core"
	"geraniumpass/outage"
	"geraniumpass/proto"
)

func sampleGroup() Group {
	return Group{
		Name:       "g",
		Epoch:      4,
		Open:       true,
		StepTime:   81500 * time.Microsecond,
		StalledFor: 400 * time.Millisecond,
		Ranks: []Rank{
			{Start: core.Start{ID: "i-1", StartedAt: 5}, Running: 9, Waiting: 2, Pace: 1},
			{Start: core.Start{ID: "i-2", StartedAt: 6}, Running: 10, Pace: 12},
		},
		RanksAge: 90 * time.Millisecond,
	}
}

// overLink returns a message as the other end of a link receives it.
func overLink(t *testing.T, m *proto.GroupLoad) *proto.GroupLoad {
	t.Helper()
	var buf bytes.Buffer
	if err := proto.Encode(&buf, &proto.Frame{GroupLoad: m}); err != nil {
		t.Fatal(err)
	}
	var out *proto.GroupLoad
	err := proto.Decode(buf.Bytes(), func(f *proto.Frame) error {
		out = f.GroupLoad
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return out
}

// TestDecoderKeepsStarts guards against loads that cannot be assigned to instances because a message
// omits the incarnations, or that are assigned to those of an earlier version.
func TestDecoderKeepsStarts(t *testing.T) {
	g := sampleGroup()
	bare := sampleGroup()
	for r := range bare.Ranks {
		bare.Ranks[r].Start = core.Start{}
	}
	tests := []struct {
		name       string
		version    int64
		withStarts bool
		want       Group
	}{
		{"omitted before any were sent", 1, false, bare},
		{"sent", 1, true, g},
		{"omitted, same version", 1, false, g},
		{"omitted, version never sent", 2, false, bare},
	}
	var d Decoder
	for _, tt := range tests {
		got, err := d.Decode(overLink(t, Encode(&g, tt.version, tt.withStarts)))
		if err != nil || !reflect.DeepEqual(got, tt.want) {
			t.Errorf("%s: got %+v, %v, want %+v", tt.name, got, err, tt.want)
		}
	}
}

// TestDecoderRejectsContradictions guards against an entry that fails, or avoids the wrong instances,
// after a malformed message.
func TestDecoderRejectsContradictions(t *testing.T) {
	tests := []struct {
		name  string
		spoil func(m *proto.GroupLoad)
	}{
		{"no group", func(m *proto.GroupLoad) { m.Group = "" }},
		{"negative stall", func(m *proto.GroupLoad) { m.StalledMs = -1 }},
		{"overflowing stall", func(m *proto.GroupLoad) { m.StalledMs = math.MaxInt64 }},
		{"negative closed time", func(m *proto.GroupLoad) { m.ClosedMs = -1 }},
		{"negative time to the opening", func(m *proto.GroupLoad) { m.OpensInMs = -1 }},
		{"overflowing time to the opening", func(m *proto.GroupLoad) { m.OpensInMs = math.MaxInt64 }},
		{"negative missing ranks", func(m *proto.GroupLoad) { m.Missing = -1 }},
		{"negative age", func(m *proto.GroupLoad) { m.RanksAgeMs = -1 }},
		{"step time not a number", func(m *proto.GroupLoad) { m.StepMs = math.NaN() }},
		{"infinite step time", func(m *proto.GroupLoad) { m.StepMs = math.Inf(1) }},
		{"fewer waiting than running", func(m *proto.GroupLoad) { m.Ranks.Waiting = m.Ranks.Waiting[:1] }},
		{"fewer starts than ranks", func(m *proto.GroupLoad) { m.Ranks.Starts = m.Ranks.Starts[:1] }},
		{"pace of no rank", func(m *proto.GroupLoad) { m.Ranks.Slow[2] = 2 }},
		{"pace of a negative rank", func(m *proto.GroupLoad) { m.Ranks.Slow[-1] = 2 }},
		{"pace not a number", func(m *proto.GroupLoad) { m.Ranks.Slow[1] = math.NaN() }},
		{"infinite pace", func(m *proto.GroupLoad) { m.Ranks.Slow[1] = math.Inf(1) }},
		{"negative pace", func(m *proto.GroupLoad) { m.Ranks.Slow[1] = -2 }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := sampleGroup()
			m := Encode(&g, 1, true)
			tt.spoil(m)
			var d Decoder
			_, err := d.Decode(m)
			var bad *MessageError
			if !errors.As(err, &bad) {
				t.Errorf("got %v, want a MessageError", err)
			}
		})
	}
}

// TestOpeningOverLink guards against callers that are told times by a status that has none: one of an older
// build, of a newer build with another basis, or of an open group.
func TestOpeningOverLink(t *testing.T) {
	forming := outage.Estimate{Basis: outage.BasisForming, OpensIn: 400 * time.Millisecond}
	missing := outage.Estimate{Basis: outage.BasisMissing, Missing: 11, OpensIn: 3 * time.Second}
	tests := []struct {
		name string
		open bool
		sent outage.Estimate
		want outage.Estimate
	}{
		{"forming", false, forming, forming},
		{"ranks missing", false, missing, missing},
		{"older build", false, outage.Estimate{}, outage.Estimate{}},
		{"basis of a newer build", false, outage.Estimate{Basis: 77, OpensIn: time.Second}, outage.Estimate{}},
		{"open", true, forming, outage.Estimate{}},
	}
	for _, tt := range tests {
		var d Decoder
		got, err := d.Decode(overLink(t, Encode(&Group{Name: "g", Open: tt.open, Opening: tt.sent}, 1, false)))
		if err != nil || got.Opening != tt.want {
			t.Errorf("%s: got %+v, %v, want %+v", tt.name, got.Opening, err, tt.want)
		}
	}
}

// TestMissingRanksAreBounded guards against an agent that takes nonsense of a leader for an outage.
func TestMissingRanksAreBounded(t *testing.T) {
	for _, missing := range []int{-1, 3} {
		if got := MissingRanks(&proto.RankLoads{Running: []byte{1, 2}, Missing: &missing}); got != outage.MissingUnknown {
			t.Errorf("%d of 2 ranks missing counts as %d, want unknown", missing, got)
		}
	}
	if got := MissingRanks(&proto.RankLoads{Running: []byte{1, 2}}); got != outage.MissingUnknown {
		t.Errorf("an older leader's message counts as %d ranks missing, want unknown", got)
	}
}

// TestCountsBeyondAByteAreCapped guards against a rank with 256 requests that looks idle.
func TestCountsBeyondAByteAreCapped(t *testing.T) {
	m := EncodeRanks([]Rank{{Running: 256, Waiting: 1000, Pace: 1}}, 1, false)
	if m.Running[0] != 255 || m.Waiting[0] != 255 {
		t.Errorf("got %d running and %d waiting, want 255", m.Running[0], m.Waiting[0])
	}
}
