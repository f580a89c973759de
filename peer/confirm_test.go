package peer

import (
	"testing"
	"time"

	"geraniumpass/view"
)

// TestConfirmationsPropagate checks that an entry that never calls the store knows how recent its
// state is, from entries that know it from others: at most what they say plus what its polls take,
// and never less.
func TestConfirmationsPropagate(t *testing.T) {
	a, b, c := newNode(t, "a"), newNode(t, "b"), newNode(t, "c")
	a.view.Apply(view.Change{Rev: 4, Full: true})
	b.polls(t, "b", a)
	c.polls(t, "c", b)
	waitFor(t, "the state to reach c", func() bool { return c.view.Now().Rev == 4 })
	if _, ok := c.view.Unconfirmed(); ok {
		t.Fatal("a state counts as confirmed that nobody has confirmed")
	}
	// rounding is what three hops lose by counting in milliseconds.
	const rounding = 10 * time.Millisecond
	at := time.Now()
	a.view.Confirm(4, 0, at)
	waitFor(t, "the confirmation to reach c", func() bool {
		age, ok := c.view.Unconfirmed()
		return ok && age <= time.Since(at)+rounding
	})
	least := time.Since(at)
	if age, _ := c.view.Unconfirmed(); age < least {
		t.Errorf("c takes its state to be %v old, it was confirmed %v ago", age, least)
	}
}
