package crash

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"geraniumpass/core"
)

// TestSegmentRecordsAreBounded guards against callers who fill memory, links and the store's values with
// segments that they invent, and against requests that these push out.
func TestSegmentRecordsAreBounded(t *testing.T) {
	e := newEntry(clockwork.NewFakeClock())
	e.terminate("x", "i-1")
	e.terminate("x", "i-2")
	for i := range 50 {
		var p prompt
		for k := range 200 {
			p = append(p, fmt.Sprint(i, "-", k))
		}
		e.clock.Advance(time.Second)
		e.crash(fmt.Sprint("i-", i), true, p, prompt{"same"})
	}
	segments, terminations := 0, 0
	for _, s := range e.suspects {
		if s.segment {
			segments++
			terminations = max(terminations, len(s.terminations))
		}
	}
	if segments > maxSegments || terminations > maxSegmentTerminations {
		t.Errorf("%d segments with up to %d terminations, want at most %d and %d", segments, terminations, maxSegments, maxSegmentTerminations)
	}
	if !e.refuses("x") {
		t.Error("a refused request was displaced by segments")
	}
}

// TestSegmentIsNoRequest guards against a request that is refused because its digest is that of a
// segment.
func TestSegmentIsNoRequest(t *testing.T) {
	h := NewHasher([]byte("key"))
	if h.Segment("x") == h.Digest(Request{URI: "x"}) || h.Segment("x") == h.Segment("y") {
		t.Error("digests are equal")
	}
	e := newEntry(clockwork.NewFakeClock())
	e.crashApart(5, 2, fatalPrompt)
	if e.Refuses(segmentsOf(prompt{"fatal"})[0]) {
		t.Error("a segment counts as a request")
	}
}

// TestSurprisal compares the bound with exact probabilities: it must not be below them, and must not be
// much above them where something was present each time.
func TestSurprisal(t *testing.T) {
	repeat := func(n int, p float64) []float64 {
		out := make([]float64, n)
		for i := range out {
			out[i] = p
		}
		return out
	}
	tests := []struct {
		name            string
		present, absent []float64
		min, max        float64
	}{
		{"three of three", repeat(3, 0.1), nil, 6.7, 6.91},
		{"ten of ten, common", repeat(10, 0.9), nil, 0.9, 1.06},
		{"as often as expected", repeat(1, 0.1), repeat(9, 0.1), 0, 0.1},
		{"less often than expected", repeat(10, 0.2), repeat(76, 0.2), 0, 0.1},
		{"always, and certain to be", repeat(5, 1), nil, 0, 0.01},
		{"half of ten", repeat(5, 0.1), repeat(5, 0.1), 4.5, 6.42},
		{"at the unlikely ones", repeat(3, 0.1), repeat(3, 0.9), 4, 6.91},
		{"at the likely ones", repeat(3, 0.9), repeat(3, 0.1), 0, 0.32},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := surprisal(tt.present, tt.absent); got < tt.min || got > tt.max {
				t.Errorf("%.3f, want %.2f to %.2f", got, tt.min, tt.max)
			}
		})
	}
}

// TestCrashesUnderOneIDAreToldApart guards against a segment that stays admitted because instances
// restart at once under their IDs and don't tell their starts apart: a request that was sent after a
// crash has met another start.
func TestCrashesUnderOneIDAreToldApart(t *testing.T) {
	e := newEntry(clockwork.NewFakeClock())
	e.mixed(200, 20)
	for i := range 5 {
		sentAt := e.clock.Now()
		e.clock.Advance(300 * time.Millisecond)
		for n, p := range []prompt{fatalPrompt, {"first", fmt.Sprint("subject-", i)}} {
			e.RecordRun(Run{
				Digest:   digestOf(fmt.Sprint(i, n)),
				Start:    core.Start{ID: "i-1"},
				SentAt:   sentAt,
				Certain:  true,
				Segments: segmentsOf(p),
			})
		}
		e.clock.Advance(time.Millisecond)
	}
	if n := len(e.suspects[segmentsOf(prompt{"fatal"})[0]].terminations); n != 5 {
		t.Errorf("%d terminations, want 5", n)
	}
	if !e.blocks("fatal") || e.blocks("first") {
		t.Error("fatal segment sent or first segment blocked")
	}
}

// TestPublishedRecordsAreBounded guards against a value that the store refuses for its size, so that no
// other entry learns anything.
func TestPublishedRecordsAreBounded(t *testing.T) {
	e := newEntry(clockwork.NewFakeClock())
	for i := range maxSuspects {
		for k := range maxTerminations {
			e.Restore([]Termination{{
				Digest:   digestOf(fmt.Sprint(i)),
				Account:  fmt.Sprint("account-", i%20),
				Instance: fmt.Sprint("i-", k),
				Cleared:  true,
			}})
		}
	}
	e.clock.Advance(time.Second)
	for k := range maxSegmentTerminations {
		var p prompt
		for i := range maxRecordedSegments {
			p = append(p, fmt.Sprint("s-", i))
		}
		e.crash(fmt.Sprint("k-", k), true, p)
	}
	local := e.Local()
	if len(local) != maxPublished {
		t.Errorf("%d records published, want %d", len(local), maxPublished)
	}
	latest := 0
	for _, r := range local {
		if r.Segment {
			latest++
		}
	}
	if latest != maxSegmentTerminations*maxRecordedSegments {
		t.Errorf("%d of the latest records published", latest)
	}
}
