package peer

import (
	"testing"

	"geraniumpass/core"
)

// TestPeersTellWhoLeaves guards against an instance that leaves, and that only the entries stop using which it has told itself.
func TestPeersTellWhoLeaves(t *testing.T) {
	start := core.Start{ID: "i-1", Born: 7}
	a, b, c := newNode(t, "a"), newNode(t, "b"), newNode(t, "c")
	b.asks(t, "b", a)
	c.asks(t, "c", b)
	a.leaving.Note(start, "a-1")
	await(t, "the instance to be given up by c", func() bool { return c.leaving.Leaves(start) })
}
