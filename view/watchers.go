package view

import (
	"math"
	"slices"
	"sort"
	"time"

	"geraniumpass/route"
)

const (
	// allWatch is the number of entries up to which every entry watches the store. Of more entries,
	// watchers do.
	allWatch = 12
	watchers = 6
	// watcherSeed is the rendezvous key by which all entries rank the members in the same way.
	watcherSeed = "watchers"
	// unreachableTTL is how long an entry that didn't answer isn't counted among the watchers.
	unreachableTTL = 10 * time.Second
)

// watcherCount returns how many of the given number of entries watch the store. It is bounded, and so
// are the calls to the store.
func watcherCount(entries int) int {
	if entries <= allWatch {
		return entries
	}
	return watchers
}

// relayCount returns how many of the given number of entries are polled by the others. The relays
// include the watchers and poll them, so that the polls that each of them answers grow with the
// square root of the number of entries.
func relayCount(entries int) int {
	return max(watcherCount(entries), int(math.Ceil(math.Sqrt(float64(entries)))))
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

// firstReachable returns the first members in rank that this entry hasn't found unreachable. It
// always counts itself as reachable.
func (v *Cache) firstReachable(count int) []string {
	ranking := v.Now().ranking
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.clock.Now()
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

// Watchers returns the names of the entries that watch the store, as far as this entry can tell.
func (v *Cache) Watchers() []string {
	return v.firstReachable(watcherCount(len(v.Now().ranking)))
}

// Informants returns the names of the entries that this one polls for changes: the watchers if it is
// one of the relays, otherwise the relays.
func (v *Cache) Informants() []string {
	relays := v.firstReachable(relayCount(len(v.Now().ranking)))
	if slices.Contains(relays, v.name) {
		return v.Watchers()
	}
	return relays
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
	// watches reports whether this entry watches the store; index is its place among the count entries
	// that stagger their watches.
	watches bool
	index   int
	count   int
	// alone reports whether every entry watches, so that none depends on another.
	alone bool
}

// role returns how this entry learns of changes now.
func (v *Cache) role() role {
	s := v.Now()
	if len(s.ranking) == 0 {
		return role{watches: true, count: 1, alone: true}
	}
	list := v.Watchers()
	if i := slices.Index(list, v.name); i >= 0 {
		return role{watches: true, index: i, count: len(list), alone: len(s.ranking) <= allWatch}
	}
	index, count := memberIndex(s, v.name)
	return role{index: index, count: count, alone: len(s.ranking) <= allWatch}
}
