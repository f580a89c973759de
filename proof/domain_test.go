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

// TestPartitionedDomainKeepsServing partitions a failure domain from the platform and from the
// agents of the other domains, then heals the partition.
func TestPartitionedDomainKeepsServing(t *testing.T) {
	d := launch(t, smallPlan(), deploy.Options{})
	const domain, entry = "hall-c", 2
	l := startLoad(9, func(s, n int) sentRequest {
		probe := fmt.Sprintf("part-%d-%d", s, n)
		switch n % 3 {
		case 0:
			return sentRequest{probe: probe, result: newCaller(d, entry).Completion(model, probe, 20, true, probe)}
		case 1:
			return sentRequest{probe: probe, result: newCaller(d, entry).Plain("GET", plain, "/x?ms=2", nil, probe, "")}
		}
		return postBooking(d, entry, "?ms=2", "once-"+probe, "")
	})
	l.waitForMore(t, 60)
	cut := func(b stand.RelayFault) {
		d.StoreRelays[domain].Set(b)
		for id, relay := range d.AgentRelays[domain] {
			if d.Agents[id].Domain != domain {
				relay.Set(b)
			}
		}
	}
	from := l.completed()
	cut(stand.RelayFault{Cut: true})
	l.waitForMore(t, 300)
	to := l.completed()
	cut(stand.RelayFault{})
	healed := time.Now()
	if err := d.WaitUsable(entry, len(d.Agents)); err != nil {
		t.Error(err)
	}
	took := time.Since(healed)
	l.waitForMore(t, 60)
	results := l.stopAndWait()
	during := results[from:to]
	whole := 0
	var once, rest []sentRequest
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
	t.Logf("partitioned: %d of %d requests answered whole; every upstream usable again %s after the partition healed", whole, len(during), took.Round(time.Millisecond))
	// Retryable requests must always be answered whole. The outcome of a non-retryable call that
	// was in flight when the links were cut may be unknown.
	checkVerdicts(t, rest, caller.Whole)
	checkVerdicts(t, once, caller.Whole, caller.Unknown)
	checkAtMostOnce(t, d, once)
}
