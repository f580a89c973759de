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
	groupOf map[core.Start]string
	// changed is closed and replaced at each update.
	changed chan struct{}
}

type posted struct {
	group      Group
	receivedAt time.Time
}

// NewBoard returns a board without any status.
func NewBoard(clock clockwork.Clock) *Board {
	return &Board{
		clock:   clock,
		byName:  make(map[string]*posted),
		groupOf: make(map[core.Start]string),
		changed: make(chan struct{}),
	}
}

// Update replaces the status of a group. A status of an earlier epoch is ignored while a later one is
// recent. A status without ranks, sent while the group has no leader, keeps those known before.
func (b *Board) Update(g Group) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	p := b.byName[g.Name]
	if p != nil && g.Epoch < p.group.Epoch && now.Sub(p.receivedAt) < maxAge {
		return
	}
	if p != nil && len(g.Ranks) == 0 {
		g.Ranks = p.group.Ranks
		g.RanksAge = p.group.RanksAge + now.Sub(p.receivedAt)
	}
	b.byName[g.Name] = &posted{
		group:      g,
		receivedAt: now,
	}
	for _, r := range g.Ranks {
		if r.Start.ID != "" {
			b.groupOf[r.Start] = g.Name
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
	return b.groupOf[start]
}

// Recent returns the status of each group that was received within maxAge, by name. The ranks are
// shared and must not be changed.
func (b *Board) Recent() map[string]Status {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	out := make(map[string]Status, len(b.byName))
	for name, p := range b.byName {
		if age := now.Sub(p.receivedAt); age < maxAge {
			out[name] = Status{
				Group: p.group,
				Age:   age,
			}
		}
	}
	return out
}

// Sweep forgets the incarnations for which keep returns false, and groups without any.
func (b *Board) Sweep(keep func(start core.Start) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	used := make(map[string]bool)
	for start, name := range b.groupOf {
		if !keep(start) {
			delete(b.groupOf, start)
			continue
		}
		used[name] = true
	}
	now := b.clock.Now()
	for name, p := range b.byName {
		if !used[name] && now.Sub(p.receivedAt) >= maxAge {
			delete(b.byName, name)
		}
	}
}
