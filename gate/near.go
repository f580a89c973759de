package gate

import (
	"sync"

	"geraniumpass/core"
	"geraniumpass/route"
	"geraniumpass/view"
)

// nearMost is how many instances of a service an entry prefers. Each is then sent enough for connections
// to be used again before they time out, and some entries prefer each, so that its load stays even.
const nearMost = 8

// neighbors remembers by service which instances an entry prefers under the newest snapshot.
type neighbors struct {
	mu   sync.Mutex
	rev  int64
	by   map[string]map[string]bool
	name string
}

// near returns the preferred instances of a service.
func (g *Gate) near(snap *view.Snapshot, service string) map[string]bool {
	n := &g.neighbors
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.by == nil || n.rev != snap.Rev {
		n.by = make(map[string]map[string]bool)
		n.rev = snap.Rev
	}
	if set, ok := n.by[service]; ok {
		return set
	}
	list := append([]core.Instance(nil), snap.Usable(service)...)
	set := make(map[string]bool)
	for _, in := range route.Subset(n.name, g.opts.Domain, list, nearMost) {
		set[in.ID] = true
	}
	n.by[service] = set
	return set
}
