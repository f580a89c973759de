package feed

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"geraniumpass/core"
	"geraniumpass/loads"
)

const (
	// feedsPerGroup is the number of agents of each group that are subscribed to, so that statuses
	// arrive while one of them is being replaced.
	feedsPerGroup = 2
	// maxProbes is the number of agents of unknown groups that are dialed at a time.
	maxProbes = 8
	// dialsPerSecond and dialBurst bound all dialing. The burst is enough to learn of 18 groups.
	dialsPerSecond = 10
	dialBurst      = 24
	// probeDelay and probeSpread delay the dialing of instances that appear once groups are known.
	// Usually the leader names them first; if not, the entries don't dial them all at once.
	probeDelay  = time.Second
	probeSpread = 2 * time.Second
	// returnInterval is the interval between attempts to replace an agent of another failure domain.
	returnInterval = 10 * time.Second
)

// selection decides which agents to subscribe to. It is not safe for concurrent use.
type selection struct {
	domain  string
	random  *rand.Rand
	limiter *rate.Limiter
	// candidates is sorted by address.
	candidates []*candidate
	byAddress  map[string]*candidate
	// groupOf is the group of each listed incarnation that an agent has named.
	groupOf map[core.Start]string
	// returnAt is when an agent of another failure domain may next be replaced, by group.
	returnAt map[string]time.Time
	// begun is the number of subscriptions that began.
	begun int
}

func newSelection(domain string, random *rand.Rand) *selection {
	return &selection{
		domain:    domain,
		random:    random,
		limiter:   rate.NewLimiter(dialsPerSecond, dialBurst),
		byAddress: make(map[string]*candidate),
		groupOf:   make(map[core.Start]string),
		returnAt:  make(map[string]time.Time),
	}
}

// list replaces the agents to select from and returns the addresses of those in use that are gone.
func (s *selection) list(agents []agent, now time.Time) []string {
	old := s.byAddress
	s.byAddress = make(map[string]*candidate, len(agents))
	s.candidates = s.candidates[:0]
	listed := make(map[core.Start]bool, len(agents))
	for _, a := range agents {
		listed[a.start] = true
		if s.byAddress[a.address] != nil {
			continue
		}
		c := s.renew(old[a.address], a, now)
		s.byAddress[a.address] = c
		s.candidates = append(s.candidates, c)
	}
	slices.SortFunc(s.candidates, func(a, b *candidate) int { return cmp.Compare(a.address, b.address) })
	for start := range s.groupOf {
		if !listed[start] {
			delete(s.groupOf, start)
		}
	}
	var gone []string
	for address, c := range old {
		if s.byAddress[address] == nil && c.state != stateIdle {
			gone = append(gone, address)
		}
	}
	return gone
}

// renew returns the candidate for a listed agent. A subscription outlives a restart of the instance,
// since the agent is another process.
func (s *selection) renew(c *candidate, a agent, now time.Time) *candidate {
	switch {
	case c == nil:
		c = &candidate{probeAt: s.probeTime(now)}
	case c.start == a.start:
		return c
	case c.state != stateLive:
		c.reported = ""
		c.probeAt = s.probeTime(now)
	}
	c.agent = a
	return c
}

func (s *selection) probeTime(now time.Time) time.Time {
	if len(s.groupOf) == 0 {
		return now
	}
	return now.Add(probeDelay + time.Duration(s.random.Int64N(int64(probeSpread))))
}

// group returns the name of the candidate's group, empty if unknown.
func (s *selection) group(c *candidate) string {
	if c.reported != "" {
		return c.reported
	}
	return s.groupOf[c.start]
}

// groups returns the names of all known groups.
func (s *selection) groups() map[string]bool {
	out := make(map[string]bool)
	for _, c := range s.candidates {
		if name := s.group(c); name != "" {
			out[name] = true
		}
	}
	return out
}

// heard records a status that an agent sent and reports whether it is the first of its subscription.
func (s *selection) heard(address string, g *loads.Group) bool {
	c := s.byAddress[address]
	if c == nil || c.state == stateIdle {
		return false
	}
	c.reported = g.Name
	for _, r := range g.Ranks {
		if r.Start.ID != "" {
			s.groupOf[r.Start] = g.Name
		}
	}
	if c.state == stateLive {
		return false
	}
	c.state = stateLive
	s.begun++
	c.order = s.begun
	c.failures = 0
	return true
}

// ended records the end of a subscription or of an attempt. An agent that failed is not dialed for a
// while.
func (s *selection) ended(address string, failed bool, now time.Time) {
	c := s.byAddress[address]
	if c == nil {
		return
	}
	c.state = stateIdle
	if failed {
		c.failures++
		c.failedAt = now
	}
}

// surplus returns the live subscriptions beyond feedsPerGroup of each group, first those of other
// failure domains, then the newest.
func (s *selection) surplus() []string {
	live := make(map[string][]*candidate)
	for _, c := range s.candidates {
		if c.state == stateLive {
			live[c.reported] = append(live[c.reported], c)
		}
	}
	var out []string
	for _, cs := range live {
		if len(cs) <= feedsPerGroup {
			continue
		}
		slices.SortFunc(cs, s.compareLive)
		for _, c := range cs[feedsPerGroup:] {
			out = append(out, c.address)
		}
	}
	return out
}

// compareLive orders live subscriptions by which is kept.
func (s *selection) compareLive(a, b *candidate) int {
	if own := a.domain == s.domain; own != (b.domain == s.domain) {
		if own {
			return -1
		}
		return 1
	}
	return cmp.Compare(a.order, b.order)
}
