package loads

import (
	"slices"
	"testing"
	"time"
)

// reading is an observation made some milliseconds after the begin of a test.
type reading struct {
	ms   int
	step int64
	busy bool
	// epoch and closed differ from the defaults in few readings.
	epoch  int64
	closed bool
}

func observeAll(readings []reading) *Tracker {
	start := time.Unix(1_000, 0)
	t := &Tracker{}
	for _, r := range readings {
		running := 0
		if r.busy {
			running = 5
		}
		t.Observe(start.Add(time.Duration(r.ms)*time.Millisecond), Observation{
			Group:   "g",
			Epoch:   r.epoch,
			Open:    !r.closed,
			Step:    r.step,
			Running: running,
		})
	}
	return t
}

// everyRead returns the readings of a busy group from one time to another, in milliseconds, with steps
// of the given duration.
func everyRead(from, to, interval, stepMs int) []reading {
	var out []reading
	for ms := from; ms <= to; ms += interval {
		out = append(out, reading{ms: ms, step: int64(ms / stepMs), busy: true})
	}
	return out
}

// shifted returns the readings made later and at later steps.
func shifted(readings []reading, ms int, steps int64) []reading {
	out := slices.Clone(readings)
	for i := range out {
		out[i].ms += ms
		out[i].step += steps
	}
	return out
}

// TestTrackerStepTime guards against room that is computed from the interval of reads or from a stall
// or an idle phase instead of from the steps. The tolerance is a fifth: callers accept pauses of 120 ms,
// and groups are filled up to steps of some 100 ms.
func TestTrackerStepTime(t *testing.T) {
	tests := []struct {
		name     string
		readings []reading
		wantMs   float64
	}{
		{"steps longer than reads", everyRead(0, 3000, 60, 100), 100},
		{"several steps in a read", everyRead(0, 3000, 60, 7), 7},
		{"slow steps", everyRead(0, 4000, 60, 900), 900},
		{"steps became slower", slices.Concat(everyRead(0, 1980, 60, 60), shifted(everyRead(0, 1500, 60, 150), 2000, 33)), 150},
		{"after a long stall", slices.Concat(everyRead(0, 980, 60, 80), shifted(everyRead(0, 840, 60, 80), 4960, 13)), 80},
		{"a single step", []reading{{ms: 0, step: 4, busy: true}, {ms: 60, step: 5, busy: true}}, 0},
		{"idle since", append(everyRead(0, 1000, 60, 80), reading{ms: 1100, step: 12}, reading{ms: 2400, step: 12}), 0},
		{"first step after an idle phase", append(everyRead(0, 1000, 60, 80),
			reading{ms: 1100, step: 12}, reading{ms: 1700, step: 12, busy: true}, reading{ms: 1760, step: 13, busy: true}), 0},
		{"new epoch", append(everyRead(0, 1000, 60, 80), reading{ms: 1060, step: 13, busy: true, epoch: 1}), 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := observeAll(tt.readings).StepTime().Seconds() * 1000
			if got < tt.wantMs*0.8 || got > tt.wantMs*1.2 {
				t.Errorf("step time %.1f ms, want %.1f", got, tt.wantMs)
			}
		})
	}
}

// TestTrackerStalledFor guards against requests sent to a group that makes no step, and against a group
// that is avoided because it is idle or an agent reads late.
func TestTrackerStalledFor(t *testing.T) {
	steady := everyRead(0, 960, 60, 80)
	tests := []struct {
		name     string
		readings []reading
		want     time.Duration
	}{
		{"no step for four seconds", slices.Concat(steady, []reading{{ms: 4960, step: 12, busy: true}}), 4 * time.Second},
		{"steps go on", slices.Concat(steady, []reading{{ms: 4960, step: 12, busy: true}, {ms: 5020, step: 13, busy: true}}), 0},
		{"read late, with new steps", slices.Concat(steady, []reading{{ms: 2000, step: 25, busy: true}}), 0},
		{"idle", slices.Concat(steady, []reading{{ms: 4960, step: 12}}), 0},
		{"first request after an idle phase", slices.Concat(steady, []reading{{ms: 4960, step: 12}, {ms: 5200, step: 12, busy: true}, {ms: 5260, step: 12, busy: true}}), 60 * time.Millisecond},
		{"new epoch", slices.Concat(steady, []reading{{ms: 4960, step: 12, busy: true, epoch: 1}}), 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := observeAll(tt.readings).StalledFor(); got != tt.want {
				t.Errorf("stalled for %s, want %s", got, tt.want)
			}
		})
	}
}

// TestTrackerKeepsStallWhenItsRequestsLeave guards against a stalled group that gets new requests as soon
// as those that ran in it have moved: without them nothing shows that it still makes no step.
func TestTrackerKeepsStallWhenItsRequestsLeave(t *testing.T) {
	stalled := append(everyRead(0, 960, 60, 80), reading{ms: 1460, step: 12, busy: true})
	tests := []struct {
		name     string
		readings []reading
		want     time.Duration
	}{
		{"all requests left", slices.Concat(stalled, []reading{{ms: 1960, step: 12}}), time.Second},
		{"a request came and left", slices.Concat(stalled, []reading{{ms: 1560, step: 12}, {ms: 1700, step: 12, busy: true}, {ms: 1960, step: 12}}), time.Second},
		{"a step followed", slices.Concat(stalled, []reading{{ms: 1960, step: 12}, {ms: 2060, step: 13, busy: true}, {ms: 2200, step: 13}}), 0},
		{"for long", slices.Concat(stalled, []reading{{ms: 1560, step: 12}, {ms: 13000, step: 12}}), 0},
		{"usual end of work", append(everyRead(0, 960, 60, 80), reading{ms: 1020, step: 12}, reading{ms: 1460, step: 12}), 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := observeAll(slices.Clone(tt.readings)).StalledFor(); got != tt.want {
				t.Errorf("stalled for %s, want %s", got, tt.want)
			}
		})
	}
}

// TestTrackerSeesStallOfOthers guards against a rank without requests that reports its stalled group as
// idle.
func TestTrackerSeesStallOfOthers(t *testing.T) {
	start := time.Unix(1_000, 0)
	var k Tracker
	for _, ms := range []time.Duration{0, 60, 300} {
		k.Observe(start.Add(ms*time.Millisecond), Observation{
			Group:      "g",
			Open:       true,
			Step:       7,
			OthersBusy: true,
		})
	}
	if got := k.StalledFor(); got != 300*time.Millisecond {
		t.Errorf("stalled for %s, want 300ms", got)
	}
}

// TestTrackerClosedFor guards against a group that forms anew again and again and looks closed only
// since its last epoch.
func TestTrackerClosedFor(t *testing.T) {
	k := observeAll([]reading{{ms: 0, step: 3}, {ms: 100, step: 3, closed: true}, {ms: 900, epoch: 1, closed: true}})
	if got := k.ClosedFor(); got != 800*time.Millisecond {
		t.Errorf("closed for %s, want 800ms", got)
	}
	k = observeAll([]reading{{ms: 0, closed: true}, {ms: 100}})
	if got := k.ClosedFor(); got != 0 {
		t.Errorf("an open group is closed for %s", got)
	}
}
