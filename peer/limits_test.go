package peer

import (
	"testing"
	"time"

	"geraniumpass/core"
	"geraniumpass/quota"
)

// TestLimitsPropagate guards against an overloaded instance having to notify every entry itself:
// one entry is notified, a second polls it, and a third learns of the limit and of its end through
// the second.
func TestLimitsPropagate(t *testing.T) {
	start := core.Start{ID: "i-1", StartedAt: 7}
	a, b, c := newNode(t, "a"), newNode(t, "b"), newNode(t, "c")
	b.polls(t, "b", a)
	c.polls(t, "c", b)
	a.quotas.Observe(start, quota.Limit{Advertised: true, Rate: 2}, time.Now())
	heard := func(ended bool) func() bool {
		return func() bool {
			// The end of a limit takes effect after a delay that is evaluated when the registry
			// is swept.
			for _, n := range []*node{b, c} {
				n.quotas.Sweep(func(core.Start) bool { return true })
			}
			known, _ := c.quotas.Since(0)
			return len(known) == 1 && known[0].Instance == start.ID && known[0].StartedAt == start.StartedAt && known[0].Ended == ended
		}
	}
	waitFor(t, "the limit to reach c", heard(false))
	<-time.After(time.Second)
	a.quotas.Observe(start, quota.Limit{}, time.Now())
	waitFor(t, "its end to reach c", heard(true))
}
