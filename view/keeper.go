package view

import (
	"maps"
	"sort"
	"sync"
	"sync/atomic"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"geraniumpass/check"
	"geraniumpass/core"
	"geraniumpass/fleet"
	"geraniumpass/plan"
)

const (
	// manyGone is how many instances of a service must vanish unannounced at once before a lapse is suspected instead of departures.
	manyGone = 3
	// gonePart is the part of a service's instances that they must make up as well.
	gonePart = 0.25
)

// Keeper merges changes into snapshots; it may be used by several goroutines.
type Keeper struct {
	name  string
	clock clockwork.Clock
	log   hclog.Logger
	now   atomic.Pointer[Snapshot]

	mu      sync.Mutex
	book    *fleet.Book
	table   *plan.Table
	members map[string]string
	paces   map[string][]core.Pace
	rev     int64
	changed chan struct{}
	ticking bool
}

// NewKeeper returns a keeper that knows nothing; name is this process among the members.
func NewKeeper(name string, clock clockwork.Clock, log hclog.Logger) *Keeper {
	k := &Keeper{
		name:    name,
		clock:   clock,
		log:     log,
		book:    fleet.NewBook(),
		members: make(map[string]string),
		changed: make(chan struct{}),
	}
	k.now.Store((&Snapshot{}).index())
	return k
}

// Now returns the newest snapshot.
func (k *Keeper) Now() *Snapshot {
	return k.now.Load()
}

// Changed returns a channel that is closed when a newer snapshot than the present one is published.
func (k *Keeper) Changed() <-chan struct{} {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.changed
}

// StoreLost notes that the store can't be reached from here.
func (k *Keeper) StoreLost() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.book.Lost()
}

// StoreBack notes that the store answered.
func (k *Keeper) StoreBack() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.book.Back(k.clock.Now())
}

// Apply takes a change from the store.
func (k *Keeper) Apply(c Change) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.clock.Now()
	k.takeTable(c.Table)
	if c.Rev < k.rev {
		// A peer has brought something newer meanwhile; the watch goes on from there.
		return
	}
	moved := c.Rev > k.rev
	k.rev = c.Rev
	gone := c.Gone
	if c.Full {
		gone = k.missing(c.Put)
	}
	if k.suspicious(gone) {
		k.book.Doubt(now)
		k.log.Warn("many instances vanished at once, kept for a while", "instances", len(gone), "revision", c.Rev)
	}
	for _, in := range c.Put {
		if !k.book.Put(in) {
			k.log.Info("entry of an earlier start ignored", "instance", in.ID, "born", in.Born, "revision", c.Rev)
		}
	}
	for _, id := range c.Void {
		k.book.Drop(id)
	}
	for _, id := range gone {
		k.book.Remove(id, now)
		k.log.Info("entry vanished", "instance", id, "kept", k.book.Kept(id), "revision", c.Rev)
	}
	k.takeMembers(c)
	k.takePaces(c)
	if moved || c.Full || len(c.Put)+len(gone)+len(c.Void) > 0 {
		k.publish()
	}
}

// Adopt takes a peer's snapshot when it is newer and returns true when it was.
func (k *Keeper) Adopt(s *Snapshot) bool {
	defer k.tickWhileWaiting()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.takeTable(s.Table)
	if s.Rev <= k.rev {
		return false
	}
	k.rev = s.Rev
	k.book.Adopt(s.Instances, s.Lapsed, k.clock.Now())
	if len(s.Lapsed) > 0 {
		k.log.Info("entries vanished at a peer", "kept", s.Lapsed, "revision", s.Rev)
	}
	k.members = maps.Clone(s.Members)
	k.paces = maps.Clone(s.Paces)
	k.publish()
	return true
}

// Tick drops lapsed instances whose time is over.
func (k *Keeper) Tick() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.book.Expire(k.clock.Now()) {
		k.log.Info("instances whose entries vanished are dropped")
		k.publish()
	}
}

// takeTable keeps the newer of two tables: a configuration in force never goes back within a process.
func (k *Keeper) takeTable(t *plan.Table) {
	if t == nil || k.table != nil && t.Version <= k.table.Version {
		return
	}
	k.table = t
	k.log.Info("routing table in force", "version", t.Version, "routes", len(t.Routes))
	k.publish()
}

func (k *Keeper) takeMembers(c Change) {
	if c.Full {
		k.members = make(map[string]string, len(c.Members))
	} else if len(c.Members)+len(c.MembersGone) > 0 {
		k.members = maps.Clone(k.members)
	}
	for name, address := range c.Members {
		k.members[name] = address
	}
	for _, name := range c.MembersGone {
		delete(k.members, name)
	}
}

func (k *Keeper) takePaces(c Change) {
	if c.Full {
		k.paces = c.Paces
		return
	}
	if len(c.Paces) == 0 {
		return
	}
	next := make(map[string][]core.Pace, len(k.paces)+len(c.Paces))
	maps.Copy(next, k.paces)
	maps.Copy(next, c.Paces)
	k.paces = next
}

// missing returns the ids in the book that a full list lacks.
func (k *Keeper) missing(list []core.Instance) []string {
	listed := make(map[string]bool, len(list))
	for _, in := range list {
		listed[in.ID] = true
	}
	var out []string
	for _, in := range k.book.List() {
		if !listed[in.ID] {
			out = append(out, in.ID)
		}
	}
	return out
}

// suspicious returns true when so many instances of one service vanish unannounced together that their entries may have lapsed in an outage.
func (k *Keeper) suspicious(gone []string) bool {
	if len(gone) < manyGone {
		return false
	}
	lost := make(map[string]int)
	all := make(map[string]int)
	vanished := make(map[string]bool, len(gone))
	for _, id := range gone {
		vanished[id] = true
	}
	for _, in := range k.book.List() {
		all[in.Service]++
		if vanished[in.ID] && !in.Leaving {
			lost[in.Service]++
		}
	}
	for service, n := range lost {
		if n >= manyGone && float64(n) >= gonePart*float64(all[service]) {
			return true
		}
	}
	return false
}

func (k *Keeper) publish() {
	old := k.now.Load()
	list := k.book.List()
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	s := (&Snapshot{
		Rev:       k.rev,
		Table:     k.table,
		Instances: list,
		Members:   k.members,
		Lapsed:    k.book.Lapsed(),
		Paces:     k.paces,
	}).index()
	forward := s.Rev >= old.Rev && (old.Table == nil || s.Table != nil && s.Table.Version >= old.Table.Version)
	check.Hold(check.ConfigForward, forward, "snapshot %d follows %d", s.Rev, old.Rev)
	k.now.Store(s)
	close(k.changed)
	k.changed = make(chan struct{})
}
