package view

import (
	"math"
	"sort"
	"time"

	"geraniumpass/route"
)

const (
	// minWatchers is the number of entries up to which every entry watches the store.
	minWatchers = 12
	// watcherSeed is the rendezvous key by which all entries rank the members in the same way.
	watcherSeed = "watchers"
	// unreachableTTL is how long an entry that didn't answer isn't counted among the watchers.
	unreachableTTL = 10 * time.Second
)

// watcherCount returns how many of the given number of entries watch the store and inform the
// others. The calls to the store and the polls that each watcher answers both grow with the square
// root of the number of entries.
func watcherCount(entries int) int {
	return max(minWatchers, int(math.Ceil(math.Sqrt(float64(entries)))))
}

// rankMembers returns the names of the members in the order in which they become watchers.
func rankMembers(members map[string]string) []string {
	names := make([]string, 0, len(members))
	weights := make(map[string]uint64, len(members))
	seed := route.Seed(watcherSeed)
	for name := range members {
		names = append(names, name)
		weights[name] = route.RendezvousWeight(name, seed)
	}
	sort.Slice(names, func(i, j int) bool {
		if weights[names[i]] != weights[names[j]] {
			return weights[names[i]] > weights[names[j]]
		}
		return names[i] < names[j]
	})
	return names
}

// Watchers returns the names of the entries that watch the store, as far as this entry can tell:
// the first ones in rank that it hasn't found unreachable. It always counts itself as reachable.
func (v *Cache) Watchers() []string {
	ranking := v.Now().ranking
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.clock.Now()
	count := watcherCount(len(ranking))
	out := make([]string, 0, count)
	for _, name := range ranking {
		if len(out) == count {
			break
		}
		at, failed := v.unreachable[name]
		if !failed || name == v.name || now.Sub(at) >= unreachableTTL {
			out = append(out, name)
		}
	}
	return out
}

// MarkUnreachable records that a member didn't answer, so that the next one in rank watches in its
// place.
func (v *Cache) MarkUnreachable(name string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.clock.Now()
	for other, at := range v.unreachable {
		if now.Sub(at) >= unreachableTTL {
			delete(v.unreachable, other)
		}
	}
	v.unreachable[name] = now
}

// role is how an entry learns of changes.
type role struct {
	// watches reports whether this entry watches the store on behalf of others or because it isn't a
	// member yet; index is its place among the count entries that stagger their watches.
	watches bool
	index   int
	count   int
	// alone reports whether every entry watches, so that none depends on another.
	alone bool
}

// role returns how this entry learns of changes now.
func (v *Cache) role() role {
	s := v.Now()
	if _, member := s.Members[v.name]; !member {
		return role{watches: true, count: 1, alone: true}
	}
	watchers := v.Watchers()
	for i, name := range watchers {
		if name == v.name {
			return role{watches: true, index: i, count: len(watchers), alone: len(s.ranking) <= len(watchers)}
		}
	}
	index, count := memberIndex(s, v.name)
	return role{index: index, count: count}
}
