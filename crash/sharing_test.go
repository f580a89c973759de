package crash

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"geraniumpass/core"
)

// TestMergeAcrossEntries guards against a request that stays admitted because each of its
// terminations was observed by a different entry.
func TestMergeAcrossEntries(t *testing.T) {
	clock := clockwork.NewFakeClock()
	a, b, c := newEntry(clock), newEntry(clock), newEntry(clock)
	a.terminate("x", "i-1")
	b.terminate("x", "i-2")
	got, upTo := a.Since(0)
	c.Merge(got)
	got, _ = b.Since(0)
	c.Merge(got)
	if !c.refuses("x") || a.refuses("x") {
		t.Errorf("refused with both terminations known: %v, with one: %v", c.refuses("x"), a.refuses("x"))
	}
	if got, _ := a.Since(upTo); len(got) > 0 {
		t.Errorf("%d terminations returned twice", len(got))
	}
	// Merging a record that comes back must not count as a change, or entries would exchange it
	// forever.
	got, _ = c.Since(0)
	before := upTo
	a.Merge(got)
	got, upTo = a.Since(before)
	if len(got) != 1 {
		t.Errorf("%d terminations changed, want 1", len(got))
	}
	a.Merge(got)
	if got, _ := a.Since(upTo); len(got) > 0 {
		t.Errorf("%d terminations changed by merging own records", len(got))
	}
}

// TestClearedStatePropagates guards against a cleared request being refused again: an entry that
// observed none of the terminations clears it, and the original records arrive once more
// afterwards.
func TestClearedStatePropagates(t *testing.T) {
	clock := clockwork.NewFakeClock()
	a, b := newEntry(clock), newEntry(clock)
	a.terminate("x", "i-1")
	a.terminate("x", "i-2")
	original, _ := a.Since(0)
	b.Merge(original)
	b.RecordCompletion(digestOf("x"))
	if len(b.Local()) != 2 {
		t.Errorf("%d terminations published as cleared, want 2", len(b.Local()))
	}
	got, _ := b.Since(0)
	a.Merge(got)
	a.Merge(original)
	if a.refuses("x") || b.refuses("x") {
		t.Error("refused although it ran to completion")
	}
}

// TestEvictionIsPerAccount guards against one account evicting the requests of another by sending
// more fatal requests than are tracked.
func TestEvictionIsPerAccount(t *testing.T) {
	e := newEntry(clockwork.NewFakeClock())
	e.RecordTermination(digestOf("x"), "small", core.Start{ID: "s-1"}, true)
	e.clock.Advance(4 * time.Second)
	e.RecordTermination(digestOf("x"), "small", core.Start{ID: "s-2"}, true)
	e.clock.Advance(4 * time.Second)
	for account := range 20 {
		for n := range 2 * maxSuspectsPerAccount {
			e.RecordTermination(digestOf(fmt.Sprint(account, "-", n)), fmt.Sprint("large-", account), core.Start{ID: fmt.Sprint(account, "-", n)}, true)
		}
	}
	if !e.refuses("x") {
		t.Error("evicted in favor of another account's requests")
	}
	if n := len(e.suspects); n > maxSuspects {
		t.Errorf("%d requests tracked, want at most %d", n, maxSuspects)
	}
	alone := newEntry(clockwork.NewFakeClock())
	for n := range 2 * maxSuspectsPerAccount {
		alone.terminate(fmt.Sprint(n), "i-1")
	}
	if n := len(alone.suspects); n > maxSuspectsPerAccount {
		t.Errorf("%d requests of one account tracked, want at most %d", n, maxSuspectsPerAccount)
	}
}

// TestEvictionKeepsRefusedRequests guards against evicting a refused request in favor of the many
// requests of the same account that ran on a terminating instance.
func TestEvictionKeepsRefusedRequests(t *testing.T) {
	e := newEntry(clockwork.NewFakeClock())
	e.terminate("x", "i-1")
	e.terminate("x", "i-2")
	for n := range 2 * maxSuspectsPerAccount {
		e.terminate(fmt.Sprint("innocent-", n), "i-3")
	}
	if !e.refuses("x") {
		t.Error("evicted in favor of requests that are not refused")
	}
}
