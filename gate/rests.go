package gate

import (
	"slices"
	"sync"
	"time"

	"geraniumpass/core"
)

// maxClockSkew is how far the clocks of instances and entries may differ.
const maxClockSkew = 2 * time.Second

// cooldowns holds the time until which instances accept no requests from this entry, by instance
// ID.
type cooldowns struct {
	mu sync.Mutex
	// byID holds one cooldown for each incarnation. Their start times don't tell which is the present
	// one, because clocks may be set back.
	byID map[string][]cooldown
}

// cooldown is the latest cooldown requested by an incarnation of an instance.
type cooldown struct {
	// start is the incarnation that the refused request was sent to.
	start       core.Start
	requestedAt time.Time
	until       time.Time
}

func newCooldowns() *cooldowns {
	return &cooldowns{byID: make(map[string][]cooldown)}
}

// record stores a cooldown that an instance has just requested. The latest end wins, so that a
// shorter cooldown from another answer doesn't cut it short.
func (c *cooldowns) record(start core.Start, now, until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	next := cooldown{
		start:       start,
		requestedAt: now,
		until:       until,
	}
	all := c.byID[start.ID]
	i := slices.IndexFunc(all, func(known cooldown) bool { return known.start == start })
	switch {
	case i < 0:
		c.byID[start.ID] = append(all, next)
	case until.After(all[i].until):
		all[i] = next
	}
}

// remaining returns how long the cooldown of an instance still lasts, zero if it has none.
func (c *cooldowns) remaining(start core.Start, now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	longest := time.Duration(0)
	for _, current := range c.byID[start.ID] {
		if current.appliesTo(start) {
			longest = max(longest, current.until.Sub(now))
		}
	}
	return longest
}

// appliesTo reports whether the incarnation start may have requested the cooldown. That is the one
// that the request was sent to, or a later one that had started by then, because an entry learns of
// a restart under a known ID with a delay.
func (c cooldown) appliesTo(start core.Start) bool {
	return start == c.start || start.StartedAt > c.start.StartedAt && time.UnixMilli(start.StartedAt).Before(c.requestedAt.Add(maxClockSkew))
}

// evictExpired removes expired cooldowns. Cooldowns of unlisted instances are kept, because their
// list entries may come back.
func (c *cooldowns) evictExpired(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, all := range c.byID {
		left := slices.DeleteFunc(all, func(current cooldown) bool { return !now.Before(current.until) })
		if len(left) == 0 {
			delete(c.byID, id)
		} else {
			c.byID[id] = left
		}
	}
}
