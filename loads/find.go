package loads

import (
	"time"

	"geraniumpass/core"
)

// Find returns the recent status of the group of an incarnation, and its place in it: the rank is
// negative if the status names no rank of this incarnation. ok is false if nothing recent is known. The
// ranks are shared and must not be changed.
func (b *Board) Find(start core.Start) (s Status, rank int, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	at, listed := b.placeOf[start]
	if !listed {
		return Status{}, unknown, false
	}
	p := b.byName[at.group]
	if p == nil {
		return Status{}, unknown, false
	}
	if s, ok = p.status(b.clock.Now()); !ok {
		return Status{}, unknown, false
	}
	if at.rank >= len(s.Ranks) || s.Ranks[at.rank].Start != start {
		return s, unknown, true
	}
	return s, at.rank, true
}

// HasUsable reports whether any group is known to be usable for requests whose callers accept pauses of
// gap.
func (b *Board) HasUsable(gap time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	for _, p := range b.byName {
		if s, ok := p.status(now); ok && s.IsUsable(gap) {
			return true
		}
	}
	return false
}
