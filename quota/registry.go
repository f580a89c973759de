package quota

import (
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"geraniumpass/core"
)

// Registry is what a process knows of instances' limits; it is safe for use by several goroutines.
type Registry struct {
	log hclog.Logger

	mu sync.Mutex
	by map[core.Start]*record
}

// record is the newest statement of one start of an instance.
type record struct {
	limit Limit
	// at is when the request was sent whose answer carried the statement.
	at time.Time
}

// New returns a registry that knows of no limit.
func New(log hclog.Logger) *Registry {
	return &Registry{
		log: log,
		by:  make(map[core.Start]*record),
	}
}

// Note takes what an answer to a request sent at a time states. Answers overtake each other: the statement of the later request holds.
func (g *Registry) Note(start core.Start, limit Limit, sent time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.by[start]
	if r == nil {
		if !limit.Stated {
			return
		}
		r = &record{}
		g.by[start] = r
	}
	if sent.Before(r.at) {
		return
	}
	r.at = sent
	if r.limit != limit {
		g.log.Info("limit of an instance", "instance", start.ID, "born", start.Born, "limited", limit.Stated, "rate", limit.Rate, "before", r.limit.Rate)
	}
	r.limit = limit
}

// Sweep forgets the starts that keep returns false for.
func (g *Registry) Sweep(keep func(start core.Start) bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for start := range g.by {
		if !keep(start) {
			delete(g.by, start)
		}
	}
}
