package leave

import (
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"geraniumpass/core"
)

const (
	// kept is how long a start is remembered, far longer than an instance that leaves goes on: its entry in the list of instances may vanish and
	// come back meanwhile.
	kept = 10 * time.Minute
	// most bounds how many are.
	most = 4096
)

// Registry is the starts that are known to leave; it is safe for use by several goroutines.
type Registry struct {
	clock clockwork.Clock
	log   hclog.Logger

	mu  sync.Mutex
	by  map[core.Start]said
	seq int64
	// changed is closed when another start leaves.
	changed chan struct{}
}

// said is when it became known that a start leaves, and its place among the news.
type said struct {
	at  time.Time
	seq int64
}

// New returns a registry in which nothing leaves.
func New(clock clockwork.Clock, log hclog.Logger) *Registry {
	return &Registry{
		clock:   clock,
		log:     log,
		by:      make(map[core.Start]said),
		changed: make(chan struct{}),
	}
}

// Note takes that an instance has said that it leaves, in the answer to the request with that id.
func (g *Registry) Note(start core.Start, id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.learn(start) {
		g.log.Info("instance says that it leaves", "instance", start.ID, "born", start.StartedAt, "id", id)
	}
}

// Merge takes what another entry knows.
func (g *Registry) Merge(starts []core.Start) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, start := range starts {
		if g.learn(start) {
			g.log.Info("instance has told another entry that it leaves", "instance", start.ID, "born", start.StartedAt)
		}
	}
}

// learn returns true when it was not known yet that a start leaves.
func (g *Registry) learn(start core.Start) bool {
	if _, known := g.by[start]; known {
		return false
	}
	if len(g.by) >= most {
		g.forgetOldest()
	}
	g.seq++
	g.by[start] = said{
		at:  g.clock.Now(),
		seq: g.seq,
	}
	close(g.changed)
	g.changed = make(chan struct{})
	return true
}

// Leaves returns true for a start that must get no more requests.
func (g *Registry) Leaves(start core.Start) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, known := g.by[start]
	return known
}

// Since returns what was learned after a number that an earlier call returned, zero for everything, and the number to go on from.
func (g *Registry) Since(after int64) ([]core.Start, int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []core.Start
	for start, s := range g.by {
		if s.seq > after {
			out = append(out, start)
		}
	}
	return out, g.seq
}

// Changed returns a channel that is closed when another start leaves.
func (g *Registry) Changed() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.changed
}

// Sweep forgets what is known for long.
func (g *Registry) Sweep() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	for start, s := range g.by {
		if now.Sub(s.at) > kept {
			delete(g.by, start)
		}
	}
}

func (g *Registry) forgetOldest() {
	var oldest core.Start
	first := g.seq + 1
	for start, s := range g.by {
		if s.seq < first {
			oldest, first = start, s.seq
		}
	}
	delete(g.by, oldest)
}
