package fleet

import (
	"maps"
	"time"

	"geraniumpass/core"
)

// ReregisterGrace is how long after a store outage an instance with a lapsed entry may take to
// register again. It is shorter than 2 s, because the outage may have affected only this process
// and the instance may really be gone.
const ReregisterGrace = 1800 * time.Millisecond

// MassLossGrace is how long instances are kept that disappeared together. An instance that left
// must stop receiving work within 2 s, of which this leaves 0.5 s.
const MassLossGrace = 1500 * time.Millisecond

// maxStarts bounds the number of remembered start times. It is about 100 times the number of
// incarnations that a fleet replaces while late reports of them may arrive.
const maxStarts = 1 << 14

// Registry is the list of instances known to a process; it is not safe for concurrent use.
type Registry struct {
	instances map[string]core.Instance
	// lapsed maps instances whose entry disappeared in an outage to the end of their grace period,
	// which is zero while the outage lasts.
	lapsed map[string]time.Time
	// startedAt is the latest known start of each instance. It is kept longer than the entry, so that a
	// late report doesn't bring back an earlier incarnation.
	startedAt map[string]latestStart
	// departed maps the incarnations that were removed to when.
	departed  map[core.Start]time.Time
	storeDown bool
	// graceUntil is the time from which disappeared entries are removed at once again.
	graceUntil time.Time
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{
		instances: make(map[string]core.Instance),
		lapsed:    make(map[string]time.Time),
		startedAt: make(map[string]latestStart),
		departed:  make(map[core.Start]time.Time),
	}
}

// StoreDown records that the store is unreachable and suspends the grace periods, because lapsed
// instances can't register again until it is back.
func (r *Registry) StoreDown() {
	if r.storeDown {
		return
	}
	r.storeDown = true
	for id := range r.lapsed {
		r.lapsed[id] = time.Time{}
	}
}

// StoreUp records that the store responds again; entries that disappeared in the outage are kept
// for another ReregisterGrace.
func (r *Registry) StoreUp(now time.Time) {
	if !r.storeDown {
		return
	}
	r.storeDown = false
	r.graceUntil = now.Add(ReregisterGrace)
	for id, until := range r.lapsed {
		if until.IsZero() {
			r.lapsed[id] = r.graceUntil
		}
	}
}

// DeferRemovals keeps entries that disappear from now on for MassLossGrace, because many at once
// may have lapsed in an outage that this process didn't notice.
func (r *Registry) DeferRemovals(now time.Time) {
	if until := now.Add(MassLossGrace); until.After(r.graceUntil) {
		r.graceUntil = until
	}
}

// Put adds or updates an instance and returns false, without effect, if the entry is of an earlier
// incarnation than the latest known one. An earlier entry than the known one changes nothing: a departure may be
// known before the rest of the state.
func (r *Registry) Put(in core.Instance) bool {
	if !r.acceptStart(in) {
		return false
	}
	if in.Rev < r.instances[in.ID].Rev {
		return true
	}
	delete(r.lapsed, in.ID)
	delete(r.departed, in.Start())
	r.instances[in.ID] = in
	return true
}

// Instance returns the instance with the given ID.
func (r *Registry) Instance(id string) (core.Instance, bool) {
	in, ok := r.instances[id]
	return in, ok
}

// Delete removes an instance at once, regardless of store outages; its entry exists but doesn't
// describe a usable instance.
func (r *Registry) Delete(id string) {
	delete(r.instances, id)
	delete(r.lapsed, id)
}

// MarkLeaving records that instances leave, of those that are known.
func (r *Registry) MarkLeaving(ids []string) {
	for _, id := range ids {
		in, ok := r.instances[id]
		if !ok {
			continue
		}
		in.Leaving = true
		r.instances[id] = in
	}
}

// Remove handles the disappearance of an entry: it removes the instance, or marks it as lapsed if
// an outage may be the cause.
func (r *Registry) Remove(id string, now time.Time) {
	in, ok := r.instances[id]
	if !ok {
		return
	}
	unsettled := r.storeDown || now.Before(r.graceUntil)
	if !unsettled || in.Leaving {
		r.depart(id, now)
		return
	}
	if _, waiting := r.lapsed[id]; waiting {
		return
	}
	r.lapsed[id] = r.graceUntil
	if r.storeDown {
		// The end of the outage is unknown; StoreUp sets the time.
		r.lapsed[id] = time.Time{}
	}
}

// BoundLapsed ends the grace period of instances that lapsed in an outage after ReregisterGrace,
// because another process has reached the store since.
func (r *Registry) BoundLapsed(now time.Time) {
	for id, until := range r.lapsed {
		if until.IsZero() {
			r.lapsed[id] = now.Add(ReregisterGrace)
		}
	}
}

// RemoveAtPeer removes instances whose entries have disappeared according to another process that
// has reached the store. Those that it keeps as lapsed are kept for ReregisterGrace.
func (r *Registry) RemoveAtPeer(removed, lapsed []string, now time.Time) {
	until := now.Add(ReregisterGrace)
	r.BoundLapsed(now)
	keep := make(map[string]bool, len(lapsed))
	for _, id := range lapsed {
		keep[id] = true
	}
	for _, id := range removed {
		if _, known := r.instances[id]; known && keep[id] {
			r.lapsed[id] = until
			continue
		}
		r.depart(id, now)
	}
}

// Replace applies a full list; instances missing from it are handled as by Remove.
func (r *Registry) Replace(list []core.Instance, now time.Time) {
	listed := make(map[string]bool, len(list))
	for _, in := range list {
		listed[in.ID] = true
		r.Put(in)
	}
	for id := range r.instances {
		if !listed[id] {
			r.Remove(id, now)
		}
	}
}

// Adopt replaces the list by that of another process, whatever the state of the store here.
// Instances that are lapsed there are kept for ReregisterGrace, also while the store is unreachable
// from this process, because the peer has reached it.
func (r *Registry) Adopt(list []core.Instance, lapsed []string, now time.Time) {
	old := r.instances
	r.instances = make(map[string]core.Instance, len(list))
	clear(r.lapsed)
	defer r.recordMissing(old, now)
	for _, in := range list {
		switch own, known := old[in.ID]; {
		case in.Rev >= own.Rev && r.acceptStart(in):
			r.instances[in.ID] = in
		case known:
			r.instances[in.ID] = own
		}
	}
	for _, id := range lapsed {
		r.lapsed[id] = now.Add(ReregisterGrace)
	}
}

// Lapsed returns the IDs of instances that are kept although their entry has disappeared.
func (r *Registry) Lapsed() []string {
	out := make([]string, 0, len(r.lapsed))
	for id := range r.lapsed {
		out = append(out, id)
	}
	return out
}

// LapsedUntil returns the ends of the grace periods of the lapsed instances, by ID. An end is zero while the
// outage lasts.
func (r *Registry) LapsedUntil() map[string]time.Time {
	return maps.Clone(r.lapsed)
}

// EndLapsed ends the grace periods of lapsed instances at the given times unless they end earlier. A zero
// time changes nothing.
func (r *Registry) EndLapsed(ends map[string]time.Time) {
	for id, end := range ends {
		until, lapsed := r.lapsed[id]
		if lapsed && !end.IsZero() && (until.IsZero() || end.Before(until)) {
			r.lapsed[id] = end
		}
	}
}

// IsLapsed reports whether an instance is kept although its entry has disappeared.
func (r *Registry) IsLapsed(id string) bool {
	_, ok := r.lapsed[id]
	return ok
}

// Expire drops lapsed instances whose grace period is over and reports whether there were any.
func (r *Registry) Expire(now time.Time) bool {
	dropped := false
	for id, until := range r.lapsed {
		if until.IsZero() || now.Before(until) {
			continue
		}
		r.depart(id, now)
		dropped = true
	}
	return dropped
}

// HasLapsed reports whether any lapsed instances are kept.
func (r *Registry) HasLapsed() bool {
	return len(r.lapsed) > 0
}

// List returns all instances, including those that are leaving.
func (r *Registry) List() []core.Instance {
	out := make([]core.Instance, 0, len(r.instances))
	for _, in := range r.instances {
		out = append(out, in)
	}
	return out
}
