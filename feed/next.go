package feed

import (
	"time"

	"github.com/samber/lo"
)

// cover is how well a group is covered by subscriptions.
type cover struct {
	live    int
	foreign int
	dialing int
}

// missing returns the number of agents to dial for the group.
func (v *cover) missing() int {
	return feedsPerGroup - v.live - v.dialing
}

// survey is how well all groups are covered.
type survey struct {
	// covers is the cover of each known group.
	covers map[string]*cover
	// unnamed is the number of agents whose group is unknown, probes that of those being dialed.
	unnamed int
	probes  int
}

// isComplete reports whether no agent is needed, as nearly always.
func (s *survey) isComplete() bool {
	if s.unnamed > 0 {
		return false
	}
	for _, v := range s.covers {
		if v.missing() > 0 || v.foreign > 0 {
			return false
		}
	}
	return true
}

// isSettled reports whether all known groups have their feeds and no other agent can be dialed now. Agents
// that no group has named, or feeds from other failure domains, may then wait for long.
func (s *selection) isSettled(now time.Time) bool {
	known := s.survey()
	for _, v := range known.covers {
		if v.missing() > 0 {
			return false
		}
	}
	return known.isComplete() || s.choose(now) == nil
}

// next returns the agent to dial next. ok is false if none is to be dialed now. Groups that nothing is
// heard of come first, then those with a single feed, then agents whose group is unknown.
func (s *selection) next(now time.Time) (a agent, ok bool) {
	if s.limiter.TokensAt(now) < 1 {
		return agent{}, false
	}
	c := s.choose(now)
	if c == nil || !s.limiter.AllowN(now, 1) {
		return agent{}, false
	}
	if s.group(c) != "" {
		s.returnAt[s.group(c)] = now.Add(returnInterval)
	}
	c.state = stateDialing
	return c.agent, true
}

func (s *selection) choose(now time.Time) *candidate {
	known := s.survey()
	if known.isComplete() {
		return nil
	}
	unheard, single := s.pools(known.covers, now)
	if c := s.draw(unheard); c != nil {
		return c
	}
	if known.probes < maxProbes {
		if c := s.draw(s.unknown(now)); c != nil {
			return c
		}
	}
	if c := s.draw(single); c != nil {
		return c
	}
	return s.draw(s.returns(known.covers, now))
}

// survey returns how well each group is covered.
func (s *selection) survey() survey {
	out := survey{
		covers: make(map[string]*cover),
	}
	for _, c := range s.candidates {
		name := s.group(c)
		if name == "" {
			out.unnamed++
			if c.state == stateDialing {
				out.probes++
			}
			continue
		}
		v := out.covers[name]
		if v == nil {
			v = &cover{}
			out.covers[name] = v
		}
		v.add(c, s.domain)
	}
	return out
}

// add counts an agent of the group as seen from a failure domain.
func (v *cover) add(c *candidate, domain string) {
	switch c.state {
	case stateDialing:
		v.dialing++
	case stateLive:
		v.live++
		if c.domain != domain {
			v.foreign++
		}
	}
}

// pools returns the agents that can be dialed of groups without any live feed, and of groups with too
// few.
func (s *selection) pools(covers map[string]*cover, now time.Time) (unheard, single []*candidate) {
	for _, c := range s.candidates {
		v := covers[s.group(c)]
		if v == nil || v.missing() <= 0 || !c.mayDial(now, v.live == 0) {
			continue
		}
		if v.live == 0 {
			unheard = append(unheard, c)
		} else {
			single = append(single, c)
		}
	}
	return unheard, single
}

func (s *selection) unknown(now time.Time) []*candidate {
	return lo.Filter(s.candidates, func(c *candidate, _ int) bool {
		return s.group(c) == "" && !now.Before(c.probeAt) && c.mayDial(now, false)
	})
}

// returns returns the agents of the own failure domain that can take the place of others.
func (s *selection) returns(covers map[string]*cover, now time.Time) []*candidate {
	return lo.Filter(s.candidates, func(c *candidate, _ int) bool {
		name := s.group(c)
		v := covers[name]
		if v == nil || v.foreign == 0 || v.missing() < 0 || now.Before(s.returnAt[name]) {
			return false
		}
		return c.domain == s.domain && c.mayDial(now, false)
	})
}

// draw returns a random candidate, of the own failure domain if there is any.
func (s *selection) draw(cs []*candidate) *candidate {
	own := lo.Filter(cs, func(c *candidate, _ int) bool { return c.domain == s.domain })
	if len(own) > 0 {
		cs = own
	}
	if len(cs) == 0 {
		return nil
	}
	return cs[s.random.IntN(len(cs))]
}
