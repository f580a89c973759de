package crash

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"geraniumpass/core"
)

// prompt is the segments of a request, all but its last one.
type prompt []string

func segmentsOf(p prompt) []Digest {
	out := make([]Digest, len(p))
	for i, id := range p {
		out[i] = NewHasher(nil).Segment(id)
	}
	return out
}

// count counts n requests with the same segments.
func (e entry) count(n int, p prompt) {
	for range n {
		e.CountRequest(segmentsOf(p))
	}
}

// mixed counts requests of which one in the given number has the segment "fatal". All have the segment
// "first" and one of twenty others.
func (e entry) mixed(requests, oneIn int) {
	for n := range requests {
		p := prompt{"first", fmt.Sprint("subject-", n%20)}
		if n%oneIn == 0 {
			p = append(p, "fatal")
		}
		e.count(1, p)
	}
}

// crash records that an instance terminated while it was to begin the given prompts.
func (e entry) crash(instance string, certain bool, prompts ...prompt) {
	for i, p := range prompts {
		e.RecordRun(Run{
			Digest:   digestOf(fmt.Sprint(instance, " ", i)),
			Account:  "acme",
			Start:    core.Start{ID: instance},
			Certain:  certain,
			Segments: segmentsOf(p),
		})
	}
}

// crashApart records n crashes, 4 s from one to the next, as the ranks of a group that forms anew each
// time. Besides the fatal prompt, which has another subject each time, others wait at each instance.
func (e entry) crashApart(n, others int, fatal prompt) {
	for i := range n {
		e.clock.Advance(4 * time.Second)
		prompts := []prompt{append(prompt{fmt.Sprint("subject-", 3*i%20)}, fatal...)}
		for k := range others {
			prompts = append(prompts, prompt{"first", fmt.Sprint("subject-", (7*i+k)%20)})
		}
		e.crash(fmt.Sprint("i-", i), true, prompts...)
	}
}

// blocks reports whether a prompt with the given segments, separated by spaces, is refused.
func (e entry) blocks(segments string) bool {
	_, blocked := e.BlockedSegment(segmentsOf(strings.Fields(segments)))
	return blocked
}

var fatalPrompt = prompt{"first", "fatal"}

// TestBlockedSegments guards against a segment that crashes every instance and stays admitted, and
// against a common segment that is blocked because it was at every crash too. Five crashes is when
// a fatal segment has to be known at the latest.
func TestBlockedSegments(t *testing.T) {
	tests := []struct {
		name    string
		do      func(e entry)
		blocked []string
		sent    []string
	}{
		{"at five crashes, in one of twenty requests", func(e entry) {
			e.mixed(200, 20)
			e.crashApart(5, 3, fatalPrompt)
		}, []string{"fatal"}, []string{"first", "subject-1", "subject-7"}},
		{"at five crashes, in one of ten requests", func(e entry) {
			e.mixed(200, 10)
			e.crashApart(5, 2, fatalPrompt)
		}, []string{"fatal"}, []string{"first", "subject-1"}},
		{"at five crashes, alone at each", func(e entry) {
			e.mixed(200, 5)
			e.crashApart(5, 0, fatalPrompt)
		}, []string{"fatal"}, []string{"first"}},
		{"at two crashes", func(e entry) {
			e.mixed(200, 50)
			e.crashApart(2, 0, fatalPrompt)
		}, nil, []string{"fatal", "first", "subject-1"}},
		{"sound until a moment before", func(e entry) {
			e.mixed(200, 10)
			e.RecordProgress(segmentsOf(fatalPrompt), e.clock.Now())
			e.crashApart(5, 2, fatalPrompt)
		}, []string{"fatal"}, []string{"first"}},
		{"begun before the crashes, complete after them", func(e entry) {
			e.mixed(200, 10)
			began := e.clock.Now()
			e.crashApart(5, 2, fatalPrompt)
			e.RecordProgress(segmentsOf(fatalPrompt), began)
		}, []string{"fatal"}, nil},
		{"begun and complete after the crashes", func(e entry) {
			e.mixed(200, 10)
			e.crashApart(5, 2, fatalPrompt)
			e.clock.Advance(time.Millisecond)
			e.RecordProgress(segmentsOf(fatalPrompt), e.clock.Now())
		}, nil, []string{"fatal", "first"}},
		{"the first segment of all, nothing answered in between", func(e entry) {
			e.mixed(200, 300)
			for i := range 2 * maxSegmentTerminations {
				e.clock.Advance(4 * time.Second)
				e.crash(fmt.Sprint("i-", i), true, prompt{"first", fmt.Sprint("subject-", i%20)}, prompt{"first", fmt.Sprint("subject-", (i+9)%20)})
			}
		}, nil, []string{"first", "subject-0"}},
		{"a small account whose few requests are fatal as often as sound", func(e entry) {
			e.mixed(200, 300)
			e.count(8, prompt{"first-of-small"})
			e.count(8, prompt{"first-of-small", "fatal"})
			e.crashApart(5, 2, prompt{"first-of-small", "fatal"})
		}, []string{"fatal"}, []string{"first-of-small"}},
		{"86 of 576 instances at one moment", func(e entry) {
			e.mixed(200, 300)
			for i := range 86 {
				var at []prompt
				for k := range 4 {
					at = append(at, prompt{"first", fmt.Sprint("subject-", (4*i+k)%20)})
				}
				e.crash(fmt.Sprint("i-", i), true, at...)
			}
		}, nil, []string{"first", "subject-0", "subject-9"}},
		{"one request and its repetition, at two crashes and the next one", func(e entry) {
			e.mixed(200, 300)
			e.crash("i-1", true, prompt{"first", "rare"})
			e.crash("i-2", true, prompt{"first", "rare"})
			e.clock.Advance(4 * time.Second)
			e.crash("i-3", true, prompt{"first", "subject-1"})
		}, nil, []string{"rare", "first"}},
		{"three crashes at one moment", func(e entry) {
			e.mixed(200, 50)
			for i := range 3 {
				e.crash(fmt.Sprint("i-", i), true, fatalPrompt)
			}
		}, nil, []string{"fatal", "first"}},
		{"five crashes at one moment and one after", func(e entry) {
			e.mixed(200, 20)
			for i := range 5 {
				e.crash(fmt.Sprint("i-", i), true, fatalPrompt, prompt{"first", fmt.Sprint("subject-", i)})
			}
			e.clock.Advance(4 * time.Second)
			e.crash("i-6", true, fatalPrompt)
		}, []string{"fatal"}, []string{"first"}},
		{"five crashes that may be a partition", func(e entry) {
			e.mixed(200, 50)
			for i := range 5 {
				e.clock.Advance(4 * time.Second)
				e.crash(fmt.Sprint("i-", i), false, fatalPrompt)
			}
		}, nil, []string{"fatal", "first"}},
		{"two fatal segments", func(e entry) {
			e.mixed(200, 20)
			e.count(10, prompt{"first", "also-fatal"})
			e.crashApart(5, 2, fatalPrompt)
			for i := range 5 {
				e.clock.Advance(4 * time.Second)
				e.crash(fmt.Sprint("k-", i), true, prompt{"first", "also-fatal"}, prompt{"first", fmt.Sprint("subject-", 5+i)})
			}
		}, []string{"fatal", "also-fatal"}, []string{"first", "subject-5"}},
		{"callers invent segments meanwhile", func(e entry) {
			e.mixed(200, 20)
			for i := range 5 {
				var invented [3]prompt
				for k := range 3 * maxSegments {
					invented[k%3] = append(invented[k%3], fmt.Sprint("invented-", i, "-", k))
				}
				e.clock.Advance(4 * time.Second)
				e.crash(fmt.Sprint("f-", i), true, append(invented[:], fatalPrompt)...)
			}
		}, []string{"fatal"}, []string{"first"}},
		{"always with the same subject, which is as rare", func(e entry) {
			e.mixed(200, 20)
			e.crashApart(5, 2, prompt{"first", "subject-19", "fatal"})
		}, []string{"first subject-19 fatal"}, []string{"first"}},
		{"interleaved with another one", func(e entry) {
			e.mixed(200, 20)
			e.count(10, prompt{"first", "also-fatal"})
			for i := range 7 {
				e.clock.Advance(4 * time.Second)
				e.crash(fmt.Sprint("k-", i), true, prompt{"first", "also-fatal"}, prompt{"first", fmt.Sprint("subject-", 5+i)})
				e.clock.Advance(4 * time.Second)
				e.crash(fmt.Sprint("f-", i), true, fatalPrompt, prompt{"first", fmt.Sprint("subject-", 9+i)})
			}
		}, []string{"fatal", "also-fatal"}, []string{"first"}},
		{"a subject in a fifth of the prompts, twelve of them at each crash", func(e entry) {
			e.count(40, prompt{"first", "hot"})
			e.count(160, prompt{"first"})
			for i := range 8 {
				e.clock.Advance(4 * time.Second)
				var at []prompt
				for range 11 {
					at = append(at, prompt{"first"})
				}
				e.crash(fmt.Sprint("i-", i), true, append(at, prompt{"first", "hot"})...)
			}
		}, nil, []string{"hot", "first"}},
		{"popular an hour ago", func(e entry) {
			e.count(200, fatalPrompt)
			e.clock.Advance(time.Hour)
			e.mixed(200, 300)
			e.crashApart(5, 2, fatalPrompt)
		}, []string{"fatal"}, []string{"first"}},
		{"present by chance long before it became fatal", func(e entry) {
			e.mixed(200, 10)
			for i := range maxSegmentTerminations {
				at := []prompt{fatalPrompt}
				for k := range 40 {
					at = append(at, prompt{"first", fmt.Sprint("subject-", k%20)})
				}
				e.clock.Advance(time.Second)
				e.crash(fmt.Sprint("o-", i), true, at...)
			}
			e.crashApart(5, 0, fatalPrompt)
		}, []string{"fatal"}, []string{"first"}},
		{"callers invent segments between two crashes", func(e entry) {
			e.mixed(200, 20)
			e.crashApart(3, 0, fatalPrompt)
			for i := range maxSegments {
				e.clock.Advance(10 * time.Millisecond)
				e.crash("other", true, prompt{"first", fmt.Sprint("invented-", i)})
			}
			e.clock.Advance(4 * time.Second)
			e.crash("last", true, fatalPrompt)
		}, []string{"fatal"}, []string{"first"}},
		{"in most of the prompts, which all end while others are answered", func(e entry) {
			e.count(120, fatalPrompt)
			for i := range 24 {
				e.clock.Advance(time.Second)
				e.count(2, prompt{"first", fmt.Sprint("subject-", i%5)})
				e.RecordBegin(segmentsOf(prompt{"first", fmt.Sprint("subject-", i%5)}), e.clock.Now())
				e.crash(fmt.Sprint("i-", i), true, prompt{"first", fmt.Sprint("subject-", (i+1)%5), "fatal"}, prompt{"first", fmt.Sprint("subject-", (i+2)%5), "fatal"}, prompt{"first", fmt.Sprint("subject-", i%5)})
			}
		}, []string{"fatal"}, []string{"first"}},
		{"in most of the prompts, some of which begin", func(e entry) {
			e.count(120, fatalPrompt)
			for i := range 24 {
				e.clock.Advance(time.Second)
				e.count(2, prompt{"first", fmt.Sprint("subject-", i%5)})
				e.RecordBegin(segmentsOf(prompt{"first", fmt.Sprint("subject-", i%5)}), e.clock.Now())
				e.RecordBegin(segmentsOf(fatalPrompt), e.clock.Now())
				e.crash(fmt.Sprint("i-", i), true, fatalPrompt, fatalPrompt, prompt{"first", fmt.Sprint("subject-", i%5)})
			}
		}, nil, []string{"fatal", "first"}},
		{"all prompts end, whatever they have", func(e entry) {
			for i := range 24 {
				e.clock.Advance(time.Second)
				p := prompt{"first", fmt.Sprint("half-", i%2)}
				e.count(4, p)
				e.crash(fmt.Sprint("i-", i), true, p, p)
			}
		}, nil, []string{"first"}},
		{"fatal no longer after a while", func(e entry) {
			e.mixed(200, 20)
			e.crashApart(5, 2, fatalPrompt)
			e.blocks("fatal")
			e.clock.Advance(Retention)
			e.Sweep()
		}, nil, []string{"fatal"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := newEntry(clockwork.NewFakeClock())
			tt.do(e)
			for _, id := range tt.blocked {
				if !e.blocks(id) {
					t.Errorf("segment %q is sent", id)
				}
			}
			for _, id := range tt.sent {
				if e.blocks(id) {
					t.Errorf("segment %q is blocked", id)
				}
			}
		})
	}
}
