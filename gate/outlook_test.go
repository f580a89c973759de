package gate

import (
	"testing"
	"time"

	"geraniumpass/core"
)

// TestPickKnowsInstance guards against picks that leave out what an entry knows of an instance besides its
// group's status: they would send on to one that is silent or was left, or as if nothing had been sent since.
func TestPickKnowsInstance(t *testing.T) {
	r := requestAmong(2, ranksPerGroup)
	clock := r.g.clock
	now := clock.Now()
	in := r.snap.Usable("svc")[0]
	other := r.snap.Usable("svc")[ranksPerGroup]
	of := func(in core.Instance) (load float64, isPreferred, isLastResort bool) {
		o := r.newOutlook(r.snap, now, true)
		c := r.g.conditionOf(in.Start(), r.route, now)
		v := r.instanceView(&o, in, &c, r.g.loads.failuresOf(in.Start(), now))
		return v.Load, v.Preferred, v.LastResort
	}
	before, _, isLast := of(in)
	if isLast {
		t.Fatal("a sound instance is a last resort")
	}
	r.g.loads.recordBegin(in.Start(), now.Add(time.Millisecond))
	if got, _, _ := of(in); got != before+1 {
		t.Errorf("load %.0f with a request sent since %.0f were reported", got, before)
	}
	preferred := 0
	for _, in := range r.snap.Usable("svc") {
		if _, ok, _ := of(in); ok {
			preferred++
		}
	}
	if preferred != maxPreferred {
		t.Errorf("%d instances are preferred, want %d", preferred, maxPreferred)
	}
	r.g.health.recordAnswer("svc", now)
	r.g.loads.addWaiting(in.Start(), now.Add(-2*maxSilence))
	if _, _, isLast := of(in); !isLast {
		t.Error("a silent instance is no last resort")
	}
	r.left = []string{r.g.groups.GroupOf(other.Start())}
	if _, _, isLast := of(other); !isLast {
		t.Error("an instance of a group that was left is no last resort")
	}
}
