package loads

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"geraniumpass/core"
)

// maxAge is how long a status is used. Agents send one several times within it, so that a single lost
// link doesn't make a group unknown.
const maxAge = time.Second

// Status is what an entry knows of a group.
type Status struct {
	Group
	// Age is the time since the status was received.
	Age time.Duration
}

// Board holds the newest status of each group that an entry receives statuses of. It is safe for
// concurrent use.
type Board struct {
	clock clockwork.Clock

	mu      sync.Mutex
	byName  map[string]*posted
	placeOf map[core.Start]place
	// newest is the incarnation of each instance that a status named last.
	newest map[string]core.Start
	// changed is closed and replaced at each update.
	changed chan struct{}
}

type posted struct {
	group      Group
	receivedAt time.Time
}

// place is the group and the rank of an incarnation as of the last status that named it.
type place struct {
	group string
	rank  int
}

// NewBoard returns a board without any status.
func NewBoard(clock clockwork.Clock) *Board {
	return &Board{
		clock:   clock,
		byName:  make(map[string]*posted),
		placeOf: make(map[core.Start]place),
		newest:  make(map[string]core.Start),
		changed: make(chan struct{}),
	}
}

// Update replaces the status of a group. A status of an earlier epoch is ignored while a later one is
// recent. A status without ranks, sent while the group has no leader, keeps those known before, and so
// does one of the same epoch with older ranks.
func (b *Board) Update(g Group) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	p := b.byName[g.Name]
	if p != nil && g.Epoch < p.group.Epoch && now.Sub(p.receivedAt) < maxAge {
		return
	}
	if p != nil {
		age := p.group.RanksAge + now.Sub(p.receivedAt)
		isOlder := g.Epoch == p.group.Epoch && len(p.group.Ranks) > 0 && age < g.RanksAge
		if len(g.Ranks) == 0 || isOlder {
			g.Ranks = p.group.Ranks
			g.RanksAge = age
		}
	}
	b.byName[g.Name] = &posted{
		group:      g,
		receivedAt: now,
	}
	for i := range g.Ranks {
		if start := g.Ranks[i].Start; start.ID != "" {
			b.placeOf[start] = place{
				group: g.Name,
				rank:  i,
			}
			b.newest[start.ID] = start
		}
	}
	close(b.changed)
	b.changed = make(chan struct{})
}

// Changed returns a channel that is closed at the next update.
func (b *Board) Changed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.changed
}

// GroupOf returns the name of the group that an incarnation belongs to, empty if unknown.
func (b *Board) GroupOf(start core.Start) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.placeOfAny(start).group
}

// Recent returns the status of each group that was received within maxAge, by name. The ranks are
// shared and must not be changed.
func (b *Board) Recent() map[string]Status {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	out := make(map[string]Status, len(b.byName))
	for name, p := range b.byName {
		if s, ok := p.status(now); ok {
			out[name] = s
		}
	}
	return out
}

// status returns the status at now. ok is false if it is too old.
func (p *posted) status(now time.Time) (s Status, ok bool) {
	age := now.Sub(p.receivedAt)
	if age >= maxAge {
		return Status{}, false
	}
	return Status{
		Group: p.group,
		Age:   age,
	}, true
}

// forget forgets an incarnation.
func (b *Board) forget(start core.Start) {
	delete(b.placeOf, start)
	if b.newest[start.ID] == start {
		delete(b.newest, start.ID)
	}
}

// placeOfAny returns the place of an incarnation, or that of the one of the same instance that a status
// named last: statuses name a restarted instance before it is listed. The mutex is held.
func (b *Board) placeOfAny(start core.Start) place {
	if at, ok := b.placeOf[start]; ok {
		return at
	}
	return b.placeOf[b.newest[start.ID]]
}

// Sweep forgets the incarnations for which keep returns false, and groups without any.
func (b *Board) Sweep(keep func(start core.Start) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	used := make(map[string]bool)
	for start, at := range b.placeOf {
		if !keep(start) {
			b.forget(start)
			continue
		}
		used[at.group] = true
	}
	now := b.clock.Now()
	for name, p := range b.byName {
		if !used[name] && now.Sub(p.receivedAt) >= maxAge {
			delete(b.byName, name)
		}
	}
}
