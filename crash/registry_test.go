package crash

import (
	"fmt"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"geraniumpass/core"
)

// entry is the registry of one entry, driven by a fake clock.
type entry struct {
	*Registry
	clock *clockwork.FakeClock
}

func newEntry(clock *clockwork.FakeClock) entry {
	return entry{
		Registry: New(clock, hclog.NewNullLogger()),
		clock:    clock,
	}
}

func digestOf(name string) Digest {
	return NewHasher(nil).Digest(Request{URI: name})
}

// terminate records that an instance terminated while running a request, 4 s after the previous
// event.
func (e entry) terminate(request, instance string) {
	e.clock.Advance(4 * time.Second)
	e.RecordTermination(digestOf(request), "acme", core.Start{ID: instance}, true)
}

// terminateTogether records waves of five simultaneous terminations, each with another request; one
// instance per wave also runs the given request.
func (e entry) terminateTogether(request string, times int) {
	for wave := range times {
		e.clock.Advance(4 * time.Second)
		for n := range 5 {
			e.RecordTermination(digestOf(fmt.Sprint("other", n)), "acme", core.Start{ID: fmt.Sprint("w", wave, "-", n)}, true)
		}
		e.RecordTermination(digestOf(request), "acme", core.Start{ID: fmt.Sprint("w", wave, "-", 0)}, true)
	}
}

func (e entry) refuses(request string) bool {
	return e.Refuses(digestOf(request))
}

func TestRefuses(t *testing.T) {
	tests := []struct {
		name string
		do   func(e entry)
		want bool
	}{
		{"one end", func(e entry) {
			e.terminate("x", "i-1")
		}, false},
		{"two ends", func(e entry) {
			e.terminate("x", "i-1")
			e.terminate("x", "i-2")
		}, true},
		{"one end of another request", func(e entry) {
			e.terminate("x", "i-1")
			e.terminate("y", "i-2")
		}, false},
		{"one end noted twice", func(e entry) {
			e.RecordTermination(digestOf("x"), "acme", core.Start{ID: "i-1", StartedAt: 1}, true)
			e.RecordTermination(digestOf("x"), "acme", core.Start{ID: "i-1", StartedAt: 1}, true)
		}, false},
		{"two starts of one instance", func(e entry) {
			e.RecordTermination(digestOf("x"), "acme", core.Start{ID: "i-1", StartedAt: 1}, true)
			e.clock.Advance(correlationWindow)
			e.RecordTermination(digestOf("x"), "acme", core.Start{ID: "i-1", StartedAt: 2}, true)
		}, true},
		{"sent on from one that ends to another that ends with it", func(e entry) {
			e.RecordTermination(digestOf("x"), "acme", core.Start{ID: "i-1"}, true)
			e.RecordTermination(digestOf("x"), "acme", core.Start{ID: "i-2"}, true)
		}, false},
		{"two that ended together, and one later", func(e entry) {
			e.RecordTermination(digestOf("x"), "acme", core.Start{ID: "i-1"}, true)
			e.RecordTermination(digestOf("x"), "acme", core.Start{ID: "i-2"}, true)
			e.terminate("x", "i-3")
		}, true},
		{"at two of three that ended together", func(e entry) {
			e.RecordTermination(digestOf("x"), "acme", core.Start{ID: "i-1"}, true)
			e.RecordTermination(digestOf("x"), "acme", core.Start{ID: "i-2"}, true)
			e.RecordTermination(digestOf("y"), "acme", core.Start{ID: "i-3"}, true)
		}, false},
		{"an instance that doesn't tell its starts apart", func(e entry) {
			e.terminate("x", "i-1")
			e.terminate("x", "i-1")
		}, true},
		{"ran whole before", func(e entry) {
			e.RecordCompletion(digestOf("x"))
			e.terminate("x", "i-1")
			e.terminate("x", "i-2")
		}, false},
		{"ran whole long before", func(e entry) {
			e.RecordCompletion(digestOf("x"))
			e.clock.Advance(completionTTL)
			e.terminate("x", "i-1")
			e.terminate("x", "i-2")
		}, true},
		{"ran whole in between", func(e entry) {
			e.terminate("x", "i-1")
			e.RecordCompletion(digestOf("x"))
			e.terminate("x", "i-2")
		}, false},
		{"ran whole after", func(e entry) {
			e.terminate("x", "i-1")
			e.terminate("x", "i-2")
			e.RecordCompletion(digestOf("x"))
		}, false},
		{"two ends that may be a partition", func(e entry) {
			for n := range 2 {
				e.clock.Advance(4 * time.Second)
				e.RecordTermination(digestOf("x"), "acme", core.Start{ID: fmt.Sprint("i-", n)}, false)
			}
		}, false},
		{"three at once that may be a partition", func(e entry) {
			for n := range 3 {
				e.RecordTermination(digestOf("x"), "acme", core.Start{ID: fmt.Sprint("i-", n)}, false)
			}
		}, false},
		{"four ends that may be a partition", func(e entry) {
			for n := range 4 {
				e.clock.Advance(4 * time.Second)
				e.RecordTermination(digestOf("x"), "acme", core.Start{ID: fmt.Sprint("i-", n)}, false)
			}
		}, true},
		{"cleared many times before", func(e entry) {
			for n := range 2 * maxTerminations {
				e.terminate("x", fmt.Sprint("c-", n))
				e.RecordCompletion(digestOf("x"))
			}
			e.clock.Advance(completionTTL)
			e.terminate("x", "i-1")
			e.terminate("x", "i-2")
		}, true},
		{"an instance answers what was sent after its end", func(e entry) {
			opened := e.clock.Now()
			e.terminate("x", "i-1")
			e.terminate("x", "i-2")
			e.clock.Advance(time.Millisecond)
			e.RecordAnswer(core.Start{ID: "i-1"}, opened, e.clock.Now())
		}, false},
		{"an instance answered what was sent before its end", func(e entry) {
			opened := e.clock.Now()
			e.terminate("x", "i-1")
			e.terminate("x", "i-2")
			e.RecordAnswer(core.Start{ID: "i-2"}, opened, opened)
		}, true},
		{"an answer over a connection that was opened after the end", func(e entry) {
			e.terminate("x", "i-1")
			opened := e.clock.Now()
			e.terminate("x", "i-2")
			e.clock.Advance(time.Millisecond)
			e.RecordAnswer(core.Start{ID: "i-1"}, opened, e.clock.Now())
		}, true},
		{"another instance answers", func(e entry) {
			opened := e.clock.Now()
			e.terminate("x", "i-1")
			e.terminate("x", "i-2")
			e.clock.Advance(time.Millisecond)
			e.RecordAnswer(core.Start{ID: "i-3"}, opened, e.clock.Now())
		}, true},
		{"not confirmed for long", func(e entry) {
			e.terminate("x", "i-1")
			e.clock.Advance(Retention)
			e.Sweep()
			e.terminate("x", "i-2")
		}, false},
		{"at one of many that ended together, twice", func(e entry) {
			e.terminateTogether("x", 2)
		}, false},
		{"at one of many that ended together, four times", func(e entry) {
			e.terminateTogether("x", 4)
		}, true},
		{"at all of several that ended together", func(e entry) {
			for n := range 3 {
				e.RecordTermination(digestOf("x"), "acme", core.Start{ID: fmt.Sprint("i-", n)}, true)
			}
		}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := newEntry(clockwork.NewFakeClock())
			tt.do(e)
			if got := e.refuses("x"); got != tt.want {
				t.Errorf("refused: %v, want %v", got, tt.want)
			}
		})
	}
}

// TestRefusalOutlastsRetentionWhileRequested guards against sending a fatal request again because
// its terminations expired although it was requested all the time. A request that isn't repeated
// must be admitted again.
func TestRefusalOutlastsRetentionWhileRequested(t *testing.T) {
	e := newEntry(clockwork.NewFakeClock())
	for _, request := range []string{"x", "y"} {
		e.terminate(request, "i-1-"+request)
		e.terminate(request, "i-2-"+request)
	}
	for range 100 {
		e.clock.Advance(time.Minute)
		e.Sweep()
		if !e.refuses("x") {
			t.Fatal("admitted again although it was requested all the time")
		}
	}
	if e.refuses("y") {
		t.Error("still refused although it was not requested any more")
	}
}
