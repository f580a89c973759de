package crash

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"geraniumpass/core"
)

// TestEntriesLearnFromEachOther has each end seen by another entry.
func TestEntriesLearnFromEachOther(t *testing.T) {
	clock := clockwork.NewFakeClock()
	a, b, c := newEntry(clock), newEntry(clock), newEntry(clock)
	a.ends("x", "i-1")
	b.ends("x", "i-2")
	told, upTo := a.Since(0)
	c.Merge(told)
	told, _ = b.Since(0)
	c.Merge(told)
	if !c.refuses("x") || a.refuses("x") {
		t.Errorf("refused by who knows of both ends: %v, of one: %v", c.refuses("x"), a.refuses("x"))
	}
	if told, _ := a.Since(upTo); len(told) > 0 {
		t.Errorf("%d ends told twice", len(told))
	}
	// What comes back is no news, so that entries don't tell each other the same for ever.
	told, _ = c.Since(0)
	before := upTo
	a.Merge(told)
	told, upTo = a.Since(before)
	if len(told) != 1 {
		t.Errorf("%d ends were news, one was", len(told))
	}
	a.Merge(told)
	if told, _ := a.Since(upTo); len(told) > 0 {
		t.Errorf("%d ends were news to who had told of them", len(told))
	}
}

// TestClearedIsClearedEverywhere clears a request at an entry that has seen none of the ends, and tells of the ends once more afterwards.
func TestClearedIsClearedEverywhere(t *testing.T) {
	clock := clockwork.NewFakeClock()
	a, b := newEntry(clock), newEntry(clock)
	a.ends("x", "i-1")
	a.ends("x", "i-2")
	ends, _ := a.Since(0)
	b.Merge(ends)
	b.Whole(digestOf("x"))
	if len(b.Own()) != 2 {
		t.Errorf("%d ends stated as cleared, want 2", len(b.Own()))
	}
	told, _ := b.Since(0)
	a.Merge(told)
	a.Merge(ends)
	if a.refuses("x") || b.refuses("x") {
		t.Error("refused although it ran whole")
	}
}

// TestAccountsPushOutOnlyTheirOwn has one account send more fatal requests than are kept.
func TestAccountsPushOutOnlyTheirOwn(t *testing.T) {
	e := newEntry(clockwork.NewFakeClock())
	e.Ended(digestOf("x"), "small", core.Start{ID: "s-1"}, true)
	e.clock.Advance(4 * time.Second)
	e.Ended(digestOf("x"), "small", core.Start{ID: "s-2"}, true)
	e.clock.Advance(4 * time.Second)
	for account := range 20 {
		for n := range 2 * accountSuspects {
			e.Ended(digestOf(fmt.Sprint(account, "-", n)), fmt.Sprint("large-", account), core.Start{ID: fmt.Sprint(account, "-", n)}, true)
		}
	}
	if !e.refuses("x") {
		t.Error("forgotten for another account's requests")
	}
	if n := len(e.suspects); n > mostSuspects {
		t.Errorf("%d requests kept, %d allowed", n, mostSuspects)
	}
	alone := newEntry(clockwork.NewFakeClock())
	for n := range 2 * accountSuspects {
		alone.ends(fmt.Sprint(n), "i-1")
	}
	if n := len(alone.suspects); n > accountSuspects {
		t.Errorf("%d requests of one account kept, %d allowed", n, accountSuspects)
	}
}

// TestSuspectsMakeRoomForOneThatIsRefused has many requests of one account be at an instance that ends, after one of it was refused.
func TestSuspectsMakeRoomForOneThatIsRefused(t *testing.T) {
	e := newEntry(clockwork.NewFakeClock())
	e.ends("x", "i-1")
	e.ends("x", "i-2")
	for n := range 2 * accountSuspects {
		e.ends(fmt.Sprint("innocent-", n), "i-3")
	}
	if !e.refuses("x") {
		t.Error("forgotten for requests that are not refused")
	}
}
