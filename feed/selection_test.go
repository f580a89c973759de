package feed

import (
	"fmt"
	"testing"
	"time"

	"github.com/samber/lo"

	"geraniumpass/loads"
)

// TestEntriesFindAllGroupsWithFewLinks guards against entries that dial a whole fleet at their start, that
// don't know a group seconds after it, and that share the agents' links unevenly. The load is that of 9
// and 432 entries; an agent has room for some hundred links beside its rank.
func TestEntriesFindAllGroupsWithFewLinks(t *testing.T) {
	tests := []struct {
		entries int
		groups  int
		// known is the time until all groups are heard of, most the dials of an entry and links the
		// links that one agent gets.
		known time.Duration
		most  int
		links int
	}{
		{entries: 9, groups: 1, known: 300 * time.Millisecond, most: 12, links: 5},
		{entries: 9, groups: 2, known: 500 * time.Millisecond, most: 14, links: 5},
		{entries: 9, groups: 18, known: 2 * time.Second, most: 60, links: 5},
		{entries: 432, groups: 1, known: 300 * time.Millisecond, most: 12, links: 60},
		{entries: 432, groups: 2, known: 500 * time.Millisecond, most: 14, links: 60},
		{entries: 432, groups: 18, known: 2 * time.Second, most: 60, links: 60},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprintf("%d entries, %d groups", tt.entries, tt.groups), func(t *testing.T) {
			agents, led := agentsIn(tt.groups), remembered(led)
			links := make(map[string]int)
			most, slowest := 0, time.Duration(0)
			// The agents of a failure domain have links with its entries only, so one domain shows all.
			for i := range tt.entries / len(domains) {
				e := newEntry(uint64(i), "a", agents, led)
				for e.heardGroups() < tt.groups && e.now.Sub(testStart) < time.Minute {
					e.run(selectInterval)
				}
				slowest = max(slowest, e.now.Sub(testStart))
				for len(e.live()) < feedsPerGroup*tt.groups && e.now.Sub(testStart) < time.Minute {
					e.run(selectInterval)
				}
				most = max(most, e.dials)
				if n := len(e.live()); n != feedsPerGroup*tt.groups {
					t.Fatalf("entry %d has %d feeds, want %d", i, n, feedsPerGroup*tt.groups)
				}
				for _, c := range e.live() {
					links[c.address]++
					if c.domain != e.domain {
						t.Fatalf("entry %d of %s listens to %s of %s", i, e.domain, c.address, c.domain)
					}
				}
			}
			top := lo.Max(lo.Values(links))
			t.Logf("known after %s, at most %d dials of an entry, at most %d links of an agent", slowest, most, top)
			if slowest > tt.known || most > tt.most || top > tt.links {
				t.Errorf("want at most %s, %d dials and %d links", tt.known, tt.most, tt.links)
			}
		})
	}
}

// TestFeedsOfFailingAgents guards against groups that an entry hears nothing of, or agents that it calls
// over and over, while some agents don't answer. The load is two groups of 32 ranks.
func TestFeedsOfFailingAgents(t *testing.T) {
	ownDown := func(a agent) *loads.Group {
		return lo.Ternary(a.domain == "a", nil, led(a))
	}
	tests := []struct {
		name    string
		answers answers
		feeds   int
		// most is the number of dials within a minute; the pauses after failures bound it.
		most int
		// perAgent is the number of dials of one agent in that time.
		perAgent int
	}{
		{name: "own failure domain cut off", answers: ownDown, feeds: 4, most: 60, perAgent: 4},
		{name: "no group has a leader", answers: func(a agent) *loads.Group { return answerOf(a, false) }, feeds: 4, most: 80, perAgent: 2},
		{name: "agents of an older build", answers: func(agent) *loads.Group { return nil }, feeds: 0, most: 400, perAgent: 5},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := newEntry(7, "a", agentsIn(2), tt.answers)
			e.run(time.Minute)
			perAgent := lo.Max(lo.Values(e.dialled))
			t.Logf("%d dials, at most %d of an agent", e.dials, perAgent)
			if n := len(e.live()); n != tt.feeds {
				t.Errorf("%d feeds, want %d", n, tt.feeds)
			}
			if e.dials > tt.most || perAgent > tt.perAgent {
				t.Errorf("want at most %d dials and %d of an agent", tt.most, tt.perAgent)
			}
		})
	}
}

// TestSilentAgentIsReplacedAtOnce guards against taking the agent that has just failed again, or one of
// another failure domain while there are others of the own.
func TestSilentAgentIsReplacedAtOnce(t *testing.T) {
	e := newEntry(3, "a", agentsIn(1), led)
	e.run(2 * time.Second)
	failed := e.live()[0]
	e.ended(failed.address, true, e.now)
	before := e.dialled[failed.address]
	e.run(answerTime + 2*selectInterval)
	if n := len(e.live()); n != feedsPerGroup {
		t.Errorf("%d feeds shortly after an agent failed, want %d", n, feedsPerGroup)
	}
	for _, c := range e.live() {
		if c.domain != "a" {
			t.Errorf("%s of another failure domain was taken", c.address)
		}
	}
	if e.dialled[failed.address] != before {
		t.Error("the agent that failed was dialed again")
	}
}

// TestUnheardGroupIsRetriedWithinASecond guards against a group that stays unknown for the long pauses
// after failures once all its agents have failed, as after a cut of the entry itself.
func TestUnheardGroupIsRetriedWithinASecond(t *testing.T) {
	cut := false
	e := newEntry(3, "a", agentsIn(1)[:4], func(a agent) *loads.Group { return lo.Ternary(cut, nil, led(a)) })
	e.run(2 * time.Second)
	cut = true
	for _, c := range e.live() {
		e.ended(c.address, true, e.now)
	}
	e.run(20 * time.Second)
	cut = false
	e.run(unheardRetryPause + silenceTimeout + answerTime)
	if e.heardGroups() != 1 {
		t.Error("nothing is heard of the group although its agents answer again")
	}
}

// TestFeedsReturnToOwnFailureDomain guards against paying for bytes between failure domains for as long as
// a process runs, because instances of the own were listed later than others.
func TestFeedsReturnToOwnFailureDomain(t *testing.T) {
	others := lo.Filter(agentsIn(1), func(a agent, _ int) bool { return a.domain != "a" })
	e := newEntry(3, "a", others, led)
	e.run(2 * time.Second)
	if e.heardGroups() != 1 {
		t.Fatal("agents of other failure domains aren't used")
	}
	e.list(agentsIn(1), e.now)
	e.run(3 * returnInterval)
	for _, c := range e.live() {
		if c.domain != "a" {
			t.Errorf("%s of %s is still used", c.address, c.domain)
		}
	}
	if n := len(e.live()); n != feedsPerGroup {
		t.Errorf("%d feeds, want %d", n, feedsPerGroup)
	}
}

// TestRestartedInstanceIsNotDialedByAllEntries guards against 432 links to one agent within a moment of
// its instance's restart, which no leader has named yet.
func TestRestartedInstanceIsNotDialedByAllEntries(t *testing.T) {
	// at counts the dials of the agent within each second after the restart.
	at := make(map[time.Duration]int)
	const entries = 432
	led := remembered(led)
	for i := range entries {
		agents := agentsIn(1)
		e := newEntry(uint64(i), domains[i%len(domains)], agents, led)
		e.run(time.Second / 2)
		used := e.byAddress[agents[0].address].state == stateLive
		agents[0].start.StartedAt++
		e.list(agents, e.now)
		restarted := e.now
		e.run(probeDelay + probeSpread + selectInterval)
		if dialed := e.dialAt[agents[0].address]; !used && dialed.After(restarted) {
			at[dialed.Sub(restarted).Truncate(time.Second)]++
		}
	}
	if at[0] > 0 || lo.Max(lo.Values(at)) > entries*2/3 {
		t.Errorf("the agent was dialed by %v entries in each second after the restart", at)
	}
}

// TestVanishedInstanceEndsItsFeed guards against links to agents whose instance is no longer listed, and
// against ending those of instances that only restarted.
func TestVanishedInstanceEndsItsFeed(t *testing.T) {
	agents := agentsIn(1)
	e := newEntry(3, "a", agents, led)
	e.run(2 * time.Second)
	gone, restarted := e.live()[0].address, e.live()[1].address
	agents = lo.Reject(agents, func(a agent, _ int) bool { return a.address == gone })
	for i := range agents {
		if agents[i].address == restarted {
			agents[i].start.StartedAt++
		}
	}
	if got := e.list(agents, e.now); len(got) != 1 || got[0] != gone {
		t.Errorf("subscriptions to %v end, want only %s", got, gone)
	}
	e.run(time.Second)
	if n := len(e.live()); n != feedsPerGroup {
		t.Errorf("%d feeds, want %d", n, feedsPerGroup)
	}
}
