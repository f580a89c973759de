package peer

import (
	"testing"

	"geraniumpass/core"
)

// TestLeavingPropagates guards against a leaving instance that is avoided only by the entries it
// has notified itself.
func TestLeavingPropagates(t *testing.T) {
	start := core.Start{ID: "i-1", StartedAt: 7}
	a, b, c := newNode(t, "a"), newNode(t, "b"), newNode(t, "c")
	b.polls(t, "b", a)
	c.polls(t, "c", b)
	a.leaving.Record(start, "a-1")
	waitFor(t, "c to learn that the instance is leaving", func() bool { return c.leaving.IsLeaving(start) })
}
