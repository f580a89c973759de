package peer

import (
	"math/rand/v2"
	"sync"

	"github.com/samber/lo"

	"geraniumpass/view"
)

// target is a peer to poll. A seed has no name.
type target struct {
	name    string
	address string
}

// selection picks the peers that this entry polls: those that inform it of changes, any member if none of
// them answers, and as long as no member is known, the seeds.
type selection struct {
	self  string
	seeds []string
	view  *view.Cache

	mu sync.Mutex
	// inUse counts the loops that poll a target.
	inUse map[target]int
}

func newSelection(self string, seeds []string, v *view.Cache) *selection {
	return &selection{
		self:  self,
		seeds: seeds,
		view:  v,
		inUse: make(map[target]int),
	}
}

// pick returns a random target that no other loop polls, or any if there is no such one. ok is false
// if no peer is known.
func (s *selection) pick() (t target, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := s.targets()
	var free []target
	for _, t := range all {
		if s.inUse[t] == 0 {
			free = append(free, t)
		}
	}
	if len(free) == 0 {
		free = all
	}
	if len(free) == 0 {
		return target{}, false
	}
	t = free[rand.IntN(len(free))]
	s.inUse[t]++
	return t, true
}

// release makes a target available to other loops.
func (s *selection) release(t target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inUse[t]--; s.inUse[t] <= 0 {
		delete(s.inUse, t)
	}
}

func (s *selection) targets() []target {
	members := s.view.Now().Members
	out := s.others(s.view.Informants(), members)
	if len(out) == 0 {
		out = s.others(lo.Keys(members), members)
	}
	if len(out) > 0 {
		return out
	}
	for _, address := range s.seeds {
		out = append(out, target{address: address})
	}
	return out
}

// others returns the targets with the given names that have an address, without this entry.
func (s *selection) others(names []string, members map[string]string) []target {
	var out []target
	for _, name := range names {
		if name != s.self && members[name] != "" {
			out = append(out, target{
				name:    name,
				address: members[name],
			})
		}
	}
	return out
}
