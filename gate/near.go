package gate

import (
	"sync"

	"geraniumpass/core"
	"geraniumpass/route"
	"geraniumpass/view"
)

// maxPreferred is the number of instances of a service that an entry prefers. It is small enough
// that connections are reused before they time out, and large enough that several entries prefer
// each instance, which keeps the load even.
const maxPreferred = 8

// preferredCache caches the preferred instances of each service for the newest snapshot.
type preferredCache struct {
	mu        sync.Mutex
	rev       int64
	byService map[string]map[string]bool
	entryName string
}

// preferredInstances returns the IDs of the preferred instances of a service.
func (g *Gate) preferredInstances(snap *view.Snapshot, service string) map[string]bool {
	c := &g.preferred
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byService == nil || c.rev != snap.Rev {
		c.byService = make(map[string]map[string]bool)
		c.rev = snap.Rev
	}
	if set, ok := c.byService[service]; ok {
		return set
	}
	list := append([]core.Instance(nil), snap.Usable(service)...)
	set := make(map[string]bool)
	for _, in := range route.Subset(c.entryName, g.opts.Domain, list, maxPreferred) {
		set[in.ID] = true
	}
	c.byService[service] = set
	return set
}
