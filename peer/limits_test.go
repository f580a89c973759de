package peer

import (
	"testing"
	"time"

	"geraniumpass/core"
	"geraniumpass/quota"
)

// TestPeersTellOfLimits guards against an instance in need that has to tell each entry by itself: one entry is told, a second asks it, and a third
// hears of the limit and of its end by way of the second.
func TestPeersTellOfLimits(t *testing.T) {
	start := core.Start{ID: "i-1", Born: 7}
	a, b, c := newNode(t, "a"), newNode(t, "b"), newNode(t, "c")
	b.asks(t, "b", a)
	c.asks(t, "c", b)
	a.quotas.Note(start, quota.Limit{Stated: true, Rate: 2}, time.Now())
	heard := func(ended bool) func() bool {
		return func() bool {
			// The end of a limit holds after a while that is looked at when the registry is swept.
			for _, n := range []*node{b, c} {
				n.quotas.Sweep(func(core.Start) bool { return true })
			}
			known, _ := c.quotas.Since(0)
			return len(known) == 1 && known[0].Instance == start.ID && known[0].Born == start.Born && known[0].Ended == ended
		}
	}
	await(t, "the limit to reach c", heard(false))
	<-time.After(time.Second)
	a.quotas.Note(start, quota.Limit{}, time.Now())
	await(t, "its end to reach c", heard(true))
}
