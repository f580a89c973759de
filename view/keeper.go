package view

import (
	"maps"
	"slices"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"geraniumpass/check"
	"geraniumpass/core"
	"geraniumpass/fleet"
	"geraniumpass/plan"
	"geraniumpass/store"
)

// Cache merges changes into snapshots; it is safe for concurrent use.
type Cache struct {
	name    string
	clock   clockwork.Clock
	log     hclog.Logger
	current atomic.Pointer[Snapshot]

	mu        sync.Mutex
	instances *fleet.Registry
	table     *plan.Table
	members   map[string]string
	// membersChanged is set when members differ from those of the last snapshot.
	membersChanged bool
	paces          map[string][]core.Pace
	evacuated      map[string]bool
	// operatorRev is the revision up to which the evacuations are known. It may be later than rev.
	operatorRev int64
	carry       carryover
	// coldUntil is when each cold instance is warm.
	coldUntil map[core.Start]time.Time
	rev       int64
	changes   changeLog
	// bound is the time within which changes must be in force here; confirmedAt is when the state was
	// last known to be the store's, zero before the first time.
	bound       time.Duration
	confirmedAt time.Time
	// peerWait is how long to wait for a peer's state before the first read.
	peerWait time.Duration
	// unreachable holds when members didn't answer, by name.
	unreachable map[string]time.Time
	changed     chan struct{}
	expiring    bool
	status      tracker
}

// NewCache returns an empty cache; name is this process's name among the members.
func NewCache(name string, clock clockwork.Clock, log hclog.Logger) *Cache {
	v := &Cache{
		name:      name,
		clock:     clock,
		log:       log,
		instances: fleet.New(),
		members:   make(map[string]string),
		evacuated: make(map[string]bool),
		coldUntil: make(map[core.Start]time.Time),
		changed:   make(chan struct{}),

		bound:       defaultBound,
		unreachable: make(map[string]time.Time),
	}
	v.current.Store((&Snapshot{}).index())
	return v
}

// Now returns the latest snapshot.
func (v *Cache) Now() *Snapshot {
	return v.current.Load()
}

// Changed returns a channel that is closed when the next snapshot is published.
func (v *Cache) Changed() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

// StoreDown records that the store is unreachable from this process.
func (v *Cache) StoreDown() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.instances.StoreDown()
}

// StoreUp records that the store responded.
func (v *Cache) StoreUp() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.instances.StoreUp(v.clock.Now())
}

// Apply merges a change from the store. It reports false if the change confirms nothing: it is from before the
// store was restored, or a part of a larger one.
func (v *Cache) Apply(c Change) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if c.More {
		v.applyPart(c)
		return false
	}
	now := v.clock.Now()
	v.beginChange(c, now)
	v.applyTable(c.Table)
	if c.Rev < v.rev {
		// A peer has provided a newer revision in the meantime; the next watch starts from there.
		v.log.Info("discarded what the store returned, a newer revision is known", "full", c.Full, "revision", store.NumberOf(c.Rev), "known", store.NumberOf(v.rev))
		return store.EraOf(c.Rev) == store.EraOf(v.rev)
	}
	restored := v.enterEra(c.Rev)
	revChanged := c.Rev > v.rev
	v.rev = c.Rev
	if !restored {
		v.completeOperator(&c)
	}
	removed := c.Removed
	if c.Full {
		removed = v.missing(c.Put)
	}
	v.instances.MarkLeaving(c.Left)
	if v.isMassLoss(removed) {
		v.instances.DeferRemovals(now)
		v.log.Warn("many instance entries disappeared at once, keeping the instances for a grace period", "instances", len(removed), "revision", store.NumberOf(c.Rev))
	}
	for _, in := range c.Put {
		v.recordCold(in)
		v.logLeaving(in)
		if !v.instances.Put(in) {
			v.log.Info("ignoring entry of an earlier incarnation of the instance", "instance", in.ID, "born", in.StartedAt, "revision", store.NumberOf(c.Rev))
		}
	}
	for _, id := range c.Invalid {
		v.instances.Delete(id)
	}
	for _, id := range removed {
		v.instances.Remove(id, now)
		v.log.Info("instance entry disappeared from the store", "instance", id, "kept", v.instances.IsLapsed(id), "revision", store.NumberOf(c.Rev))
	}
	v.applyMembers(c, restored)
	v.applyPaces(c)
	v.applyEvacuations(c)
	v.changes.record(c)
	// Peers would send again and again what is known but not published.
	moved := revChanged || v.operatorRev > v.current.Load().EvacuationsRev
	if moved || c.Full || len(c.Put)+len(removed)+len(c.Invalid) > 0 {
		v.publish()
	}
	return true
}

// logLeaving logs that an instance begins to leave or is ready again, as its row says. It must be
// called before the row is stored.
func (v *Cache) logLeaving(in core.Instance) {
	known, ok := v.instances.Instance(in.ID)
	if ok && known.Leaving != in.Leaving {
		v.log.Info("instance entry changed its state", "instance", in.ID, "leaving", in.Leaving, "revision", store.NumberOf(in.Rev))
	}
}

// Adopt replaces the cached state by a peer's snapshot if that is newer, and reports whether it
// was.
func (v *Cache) Adopt(s *Snapshot) bool {
	defer v.startExpiry()
	v.mu.Lock()
	defer v.mu.Unlock()
	v.beginUpdate(s.Rev, s.Table, s.From, s.Refused)
	v.applyTable(s.Table)
	if s.Rev <= v.rev {
		return false
	}
	restored := v.enterEra(s.Rev)
	kept, ends := v.keptFrom(s, restored)
	instances, lapsed := slices.Concat(s.Instances, kept), slices.Concat(s.Lapsed, idsOf(kept))
	v.rev = s.Rev
	for _, in := range instances {
		v.recordCold(in)
	}
	v.instances.Adopt(instances, lapsed, v.clock.Now())
	v.instances.EndLapsed(ends)
	if len(s.Lapsed) > 0 {
		v.log.Info("peer reports instances whose entries disappeared from the store", "kept", s.Lapsed, "revision", store.NumberOf(s.Rev))
	}
	v.applyMembers(Change{Full: true, Members: s.Members}, restored)
	v.paces = maps.Clone(s.Paces)
	v.applyEvacuations(Change{Rev: s.Rev, EvacuationsRev: s.EvacuationsRev, Full: true, Evacuated: s.Evacuated})
	v.changes.restart(s.Rev)
	v.publish()
	return true
}

// ExpireLapsed drops lapsed instances whose grace period is over, and ends the carryover when its time
// is over.
func (v *Cache) ExpireLapsed() {
	v.mu.Lock()
	defer v.mu.Unlock()
	dropped := v.instances.Expire(v.clock.Now())
	if dropped {
		v.log.Info("dropped instances whose entries did not reappear within their grace period")
	}
	if v.expireCarryover() || dropped {
		v.publish()
	}
}

// applyTable keeps the newer of two tables, because the active configuration must never revert
// within a process.
func (v *Cache) applyTable(t *plan.Table) {
	if t == nil || v.table != nil && t.Version <= v.table.Version {
		return
	}
	v.table = t
	v.log.Info("activated routing table", "version", t.Version, "routes", len(t.Routes))
	v.publish()
}

// applyMembers merges the members of a change. A full change contains all of them, unless the store
// was restored and members have yet to register again.
func (v *Cache) applyMembers(c Change, restored bool) {
	switch {
	case c.Full && !restored:
		v.members = make(map[string]string, len(c.Members))
	case c.Full, len(c.Members)+len(c.MembersRemoved) > 0:
		v.members = maps.Clone(v.members)
	default:
		return
	}
	v.membersChanged = true
	for name, address := range c.Members {
		v.members[name] = address
	}
	for _, name := range c.MembersRemoved {
		delete(v.members, name)
	}
}

func (v *Cache) applyPaces(c Change) {
	if c.Full {
		v.paces = c.Paces
		return
	}
	if len(c.Paces) == 0 {
		return
	}
	next := make(map[string][]core.Pace, len(v.paces)+len(c.Paces))
	maps.Copy(next, v.paces)
	maps.Copy(next, c.Paces)
	v.paces = next
}

// ranking returns the members in the order in which they become watchers, taken from the last
// snapshot unless they have changed since.
func (v *Cache) ranking(old *Snapshot) []string {
	if !v.membersChanged && old.ranking != nil {
		return old.ranking
	}
	v.membersChanged = false
	return rankMembers(v.members)
}

func (v *Cache) publish() {
	old := v.current.Load()
	list := v.instances.List()
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	s := (&Snapshot{
		Rev:       v.rev,
		Table:     v.table,
		Instances: list,
		Members:   v.members,
		Lapsed:    v.instances.Lapsed(),
		Paces:     v.paces,

		LapsedUntil: v.instances.LapsedUntil(),

		Evacuated: v.evacuated,
		carried:   maps.Clone(v.carry.evacuated),
		withheld:  v.withheld(list),
		coldUntil: v.publishedCold(),
		ranking:   v.ranking(old),

		EvacuationsRev: v.operatorRev,
	}).index()
	forward := s.Rev >= old.Rev && (old.Table == nil || s.Table != nil && s.Table.Version >= old.Table.Version)
	check.Assert(check.ConfigMonotonic, forward, "snapshot of revision %d follows revision %d", s.Rev, old.Rev)
	v.current.Store(s)
	v.status.publish(s, v.clock.Now())
	close(v.changed)
	v.changed = make(chan struct{})
}
