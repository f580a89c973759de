package proof

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"geraniumpass/caller"
	"geraniumpass/deploy"
	"geraniumpass/stand"
)

// TestCutOffDomainGoesOnServing parts a failure domain from the platform and from the others' agents, and heals it.
func TestCutOffDomainGoesOnServing(t *testing.T) {
	d := launch(t, smallPlan(), deploy.Options{})
	const domain, entry = "hall-c", 2
	l := startLoad(9, func(s, n int) sent {
		probe := fmt.Sprintf("part-%d-%d", s, n)
		switch n % 3 {
		case 0:
			return sent{probe: probe, result: user(d, entry).Completion(model, probe, 20, true, probe)}
		case 1:
			return sent{probe: probe, result: user(d, entry).Plain("GET", plain, "/x?ms=2", nil, probe, "")}
		}
		return booking(d, entry, "?ms=2", "once-"+probe, "")
	})
	l.atLeast(t, 60)
	cut := func(b stand.Break) {
		d.StoreRelays[domain].Set(b)
		for id, relay := range d.AgentRelays[domain] {
			if d.Agents[id].Domain != domain {
				relay.Set(b)
			}
		}
	}
	from := l.count()
	cut(stand.Break{Cut: true})
	l.atLeast(t, 300)
	to := l.count()
	cut(stand.Break{})
	healed := time.Now()
	if err := d.WaitUsable(entry, len(d.Agents)); err != nil {
		t.Error(err)
	}
	took := time.Since(healed)
	l.atLeast(t, 60)
	results := l.end()
	during := results[from:to]
	whole := 0
	var once, rest []sent
	for _, s := range results {
		if strings.HasPrefix(s.probe, "once-") {
			once = append(once, s)
		} else {
			rest = append(rest, s)
		}
	}
	for _, s := range during {
		if s.result.Verdict == caller.Whole {
			whole++
		}
	}
	t.Logf("cut off: %d of %d requests answered whole; every upstream usable again %s after the heal", whole, len(during), took.Round(time.Millisecond))
	// What may be repeated is answered whole throughout; a call that was running across the cut may be unknown.
	onlyVerdicts(t, rest, caller.Whole)
	onlyVerdicts(t, once, caller.Whole, caller.Unknown)
	atMostOnce(t, d, once)
}
