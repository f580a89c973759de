package feed

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/samber/lo"

	"geraniumpass/core"
	"geraniumpass/loads"
)

const (
	ranksPerGroup = 32
	// answerTime is how long an agent takes to send its first status.
	answerTime = 200 * time.Millisecond
)

var (
	testStart = time.Unix(1_000_000, 0)
	domains   = []string{"a", "b", "c"}
)

func agentAt(group, rank int) agent {
	return agent{
		address: fmt.Sprintf("10.%d.0.%d:7340", group, rank),
		domain:  domains[rank%len(domains)],
		start:   startOf(group, rank),
	}
}

func startOf(group, rank int) core.Start {
	return core.Start{ID: fmt.Sprintf("i-%d-%d", group, rank), StartedAt: 1}
}

func agentsIn(groups int) []agent {
	var out []agent
	for g := range groups {
		for r := range ranksPerGroup {
			out = append(out, agentAt(g, r))
		}
	}
	return out
}

// answers stands in for the agents: it tells what an agent sends, nil if it is silent.
type answers func(a agent) *loads.Group

// answerOf is the answer of an agent whose group has a leader, without ranks if it has none.
func answerOf(a agent, led bool) *loads.Group {
	var group, rank int
	if _, err := fmt.Sscanf(a.start.ID, "i-%d-%d", &group, &rank); err != nil {
		panic(err)
	}
	g := &loads.Group{Name: fmt.Sprintf("g%d", group), Open: led}
	for r := 0; led && r < ranksPerGroup; r++ {
		g.Ranks = append(g.Ranks, loads.Rank{Start: startOf(group, r)})
	}
	return g
}

func led(a agent) *loads.Group { return answerOf(a, true) }

// remembered works out the answer of each agent once, for answers that don't change.
func remembered(a answers) answers {
	known := make(map[string]*loads.Group)
	return func(one agent) *loads.Group {
		g, ok := known[one.start.ID]
		if !ok {
			g = a(one)
			known[one.start.ID] = g
		}
		return g
	}
}

// entrySim drives the selection of one entry as a session does.
type entrySim struct {
	*selection
	now     time.Time
	answers answers
	dials   int
	dialled map[string]int
	dialAt  map[string]time.Time
}

func newEntry(seed uint64, domain string, agents []agent, a answers) *entrySim {
	e := &entrySim{
		selection: newSelection(domain, rand.New(rand.NewPCG(seed*0x9e3779b97f4a7c15, ^seed))),
		now:       testStart,
		answers:   a,
		dialled:   make(map[string]int),
		dialAt:    make(map[string]time.Time),
	}
	e.list(agents, e.now)
	return e
}

// run plays d of time.
func (e *entrySim) run(d time.Duration) {
	for end := e.now.Add(d); e.now.Before(end); e.now = e.now.Add(selectInterval) {
		// Agents answer in any order.
		busy := lo.Filter(e.candidates, func(c *candidate, _ int) bool { return c.state != stateIdle })
		e.random.Shuffle(len(busy), func(i, j int) { busy[i], busy[j] = busy[j], busy[i] })
		for _, c := range busy {
			e.receive(c)
		}
		for {
			a, ok := e.next(e.now)
			if !ok {
				break
			}
			e.dials++
			e.dialled[a.address]++
			e.dialAt[a.address] = e.now
		}
	}
}

func (e *entrySim) receive(c *candidate) {
	since := e.now.Sub(e.dialAt[c.address])
	if since < answerTime {
		return
	}
	g := e.answers(c.agent)
	if g == nil {
		if since >= silenceTimeout {
			e.ended(c.address, true, e.now)
		}
		return
	}
	if c.state == stateLive || !e.heard(c.address, g) {
		return
	}
	for _, address := range e.surplus() {
		e.ended(address, false, e.now)
	}
}

func (e *entrySim) live() []*candidate {
	return lo.Filter(e.candidates, func(c *candidate, _ int) bool { return c.state == stateLive })
}

func (e *entrySim) heardGroups() int {
	return len(lo.UniqBy(e.live(), func(c *candidate) string { return c.reported }))
}
