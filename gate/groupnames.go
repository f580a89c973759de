package gate

import (
	"sync"

	"geraniumpass/view"
)

// groupNames caches the names of the groups of each service's usable instances. They are worked out anew
// once the instances or their places in the groups have changed, which statuses rarely do.
type groupNames struct {
	mu            sync.Mutex
	snap          *view.Snapshot
	placesVersion int64
	byService     map[string][]string
}

// groupNamesOf returns the names of the groups that have a usable instance of the service.
func (g *Gate) groupNamesOf(snap *view.Snapshot, service string) []string {
	c := &g.groupNames
	c.mu.Lock()
	defer c.mu.Unlock()
	// A change after this call makes the names count as outdated at the next one.
	version := g.groups.PlacesVersion()
	if c.snap != snap || c.placesVersion != version {
		c.snap, c.placesVersion = snap, version
		c.byService = make(map[string][]string)
	}
	names, ok := c.byService[service]
	if !ok {
		names = g.groups.GroupsOf(startsOf(snap.Usable(service)))
		c.byService[service] = names
	}
	return names
}
