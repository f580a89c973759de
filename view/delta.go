package view

import (
	"maps"
	"time"

	"geraniumpass/core"
)

// Delta is what changed between two revisions, as known to one entry.
type Delta struct {
	// After is the revision up to which the receiver must know the state.
	After  int64
	Change Change
	// Lapsed lists all instances that are kept although their entry has disappeared.
	Lapsed []string
	// LapsedUntil holds when these are dropped, as in a Snapshot.
	LapsedUntil map[string]time.Time
	// From is the id of the peer that sent the delta.
	From string
}

// Since returns what changed after a revision. ok is false if the changes since then aren't
// remembered, so that only a full snapshot helps.
func (v *Cache) Since(after int64) (d Delta, ok bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	events, ok := v.changes.since(after)
	if !ok {
		return Delta{}, false
	}
	d = Delta{
		After: after,
		Change: Change{
			Rev:     v.rev,
			Table:   v.table,
			Members: make(map[string]string),
			Paces:   make(map[string][]core.Pace),
			// A part of the state may have told of the end of an evacuation that no event here records.
			Evacuated: maps.Clone(v.evacuated),
			Operator:  true,
		},
		Lapsed:      v.instances.Lapsed(),
		LapsedUntil: v.instances.LapsedUntil(),
	}
	seen := make(map[changeKey]bool, len(events))
	for _, e := range events {
		if !seen[e.key] {
			seen[e.key] = true
			v.addCurrent(&d.Change, e.key)
		}
	}
	return d, true
}

// addCurrent adds the present state of a key to a change.
func (v *Cache) addCurrent(c *Change, key changeKey) {
	switch key.kind {
	case keyInstance:
		if in, ok := v.instances.Instance(key.name); ok && !v.instances.IsLapsed(key.name) {
			c.Put = append(c.Put, in)
		} else {
			c.Removed = append(c.Removed, key.name)
		}
	case keyMember:
		if address, ok := v.members[key.name]; ok {
			c.Members[key.name] = address
		} else {
			c.MembersRemoved = append(c.MembersRemoved, key.name)
		}
	case keyPaces:
		c.Paces[key.name] = v.paces[key.name]
	case keyEvacuation:
		c.Evacuated[key.name] = v.evacuated[key.name]
	}
}

// AdoptDelta merges what a peer knows to have changed and reports whether that was newer. Unlike a
// change from the store, it may lack what this entry already knows, so it applies only to a revision
// between its two.
func (v *Cache) AdoptDelta(d Delta) bool {
	defer v.startExpiry()
	v.mu.Lock()
	defer v.mu.Unlock()
	v.beginUpdate(d.Change.Rev, d.Change.Table, d.From, d.Change.Refused)
	v.applyTable(d.Change.Table)
	if d.Change.Rev <= v.rev || v.rev < d.After {
		return false
	}
	v.rev = d.Change.Rev
	now := v.clock.Now()
	for _, in := range d.Change.Put {
		v.recordCold(in)
		v.instances.Put(in)
	}
	// Whoever read these changes from the store saw each end and has told which instances may have lapsed.
	v.instances.RemoveAtPeer(d.Change.Removed, d.Lapsed, now)
	v.instances.EndLapsed(d.LapsedUntil)
	v.applyMembers(d.Change, false)
	v.applyPaces(d.Change)
	v.completeOperator(&d.Change)
	v.applyEvacuations(d.Change)
	v.changes.record(d.Change)
	v.publish()
	return true
}
