package crash

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
)

// TestBlockedSegmentStaysBlocked guards against a blocked segment that is sent again because its callers
// come back so often that it seems to be common.
func TestBlockedSegmentStaysBlocked(t *testing.T) {
	e := newEntry(clockwork.NewFakeClock())
	e.mixed(200, 20)
	e.crashApart(5, 2, fatalPrompt)
	if !e.blocks("fatal") {
		t.Fatal("not blocked")
	}
	e.count(2000, fatalPrompt)
	e.clock.Advance(evaluationInterval)
	if !e.blocks("fatal") {
		t.Error("sent again")
	}
}

// TestBlockedSegmentsPropagate guards against entries that go on sending a segment since each of them saw
// few of the crashes, and against one that has just started and doesn't know yet which segments
// are common.
func TestBlockedSegmentsPropagate(t *testing.T) {
	clock := clockwork.NewFakeClock()
	a, b, fresh := newEntry(clock), newEntry(clock), newEntry(clock)
	for _, e := range []entry{a, b} {
		e.mixed(200, 20)
	}
	for i := range 4 {
		clock.Advance(4 * time.Second)
		one := []entry{a, b}[i%2]
		one.crash(fmt.Sprint("i-", i), true, fatalPrompt, prompt{"first", fmt.Sprint("subject-", i+3)})
	}
	if a.blocks("fatal") || b.blocks("fatal") {
		t.Fatal("blocked by half of the crashes")
	}
	exchange(a, b)
	if !a.blocks("fatal") || !b.blocks("fatal") || a.blocks("first") || b.blocks("first") {
		t.Error("fatal segment sent or first segment blocked with all crashes known")
	}
	got, _ := a.Since(0)
	fresh.Merge(got)
	if !fresh.blocks("fatal") {
		t.Error("an entry that has just started sends the segment")
	}
	if fresh.blocks("first") {
		t.Error("an entry that has just started blocks the first segment")
	}
	clock.Advance(time.Millisecond)
	b.RecordProgress(segmentsOf(fatalPrompt), clock.Now())
	exchange(b, a)
	exchange(b, fresh)
	if a.blocks("fatal") || fresh.blocks("fatal") {
		t.Error("blocked although an instance answered it")
	}
}

// TestSegmentStaysBlockedAmidManyCrashes guards against a blocked segment that is sent again while servers
// crash so fast, by entries that don't know it yet, that all terminations that are kept lie within a
// second; and against an entry that starts then and learns only of these.
func TestSegmentStaysBlockedAmidManyCrashes(t *testing.T) {
	clock := clockwork.NewFakeClock()
	e := newEntry(clock)
	e.mixed(200, 20)
	crashOften := func(name string, n int) {
		for i := range n {
			clock.Advance(20 * time.Millisecond)
			e.crash(fmt.Sprint(name, i), true, fatalPrompt)
		}
	}
	crashOften("before-", 4*maxSegmentTerminations)
	if !e.blocks("fatal") || e.blocks("first") {
		t.Fatal("not blocked although servers have crashed for two seconds, or the first segment is")
	}
	crashOften("after-", 2*maxSegmentTerminations)
	clock.Advance(evaluationInterval)
	if !e.blocks("fatal") {
		t.Error("sent again")
	}
	fresh := newEntry(clock)
	got, _ := e.Since(0)
	fresh.Merge(got)
	if !fresh.blocks("fatal") || fresh.blocks("first") {
		t.Error("an entry that starts now sends the segment, or blocks the first one")
	}
}

// TestSegmentsThatArriveAtOneEntryAreBlocked guards against an entry that takes a fatal segment for a common
// one because nearly all requests with it arrive there. A segment that is in nearly all of its
// requests stays admitted, although it is rare at the others.
func TestSegmentsThatArriveAtOneEntryAreBlocked(t *testing.T) {
	clock := clockwork.NewFakeClock()
	most, other := newEntry(clock), newEntry(clock)
	most.count(100, prompt{"first of one", "fatal"})
	most.count(100, prompt{"first of one"})
	other.mixed(200, 300)
	for i := range 5 {
		clock.Advance(4 * time.Second)
		most.crash(fmt.Sprint("i-", i), true, prompt{"first of one", "fatal"})
		exchange(most, other)
		other.blocks("fatal")
		exchange(most, other)
	}
	for _, e := range []entry{most, other} {
		if !e.blocks("fatal") {
			t.Error("fatal segment sent")
		}
	}
	if _, blocked := most.BlockedSegment(segmentsOf(prompt{"first of one"})); blocked {
		t.Error("segment of nearly all requests blocked")
	}
}

func exchange(a, b entry) {
	fromA, _ := a.Since(0)
	fromB, _ := b.Since(0)
	b.Merge(fromA)
	a.Merge(fromB)
}
