package group

import (
	"context"
	"expvar"
	"sync"
	"time"

	"geraniumpass/core"
	"geraniumpass/place"
	"geraniumpass/plan"
	"geraniumpass/proto"
	"geraniumpass/shift"
	"geraniumpass/wire"
)

const (
	// heartbeatInterval is the interval of the heartbeats to every rank, which carry the loads.
	heartbeatInterval = 100 * time.Millisecond
	// tickInterval is how often a leader checks for due work, in addition to handling answers.
	tickInterval = 25 * time.Millisecond
	// dialInterval is how often unconnected ranks are dialed; listInterval is how often the
	// instances are listed again while a rank is unconnected.
	dialInterval = 250 * time.Millisecond
	listInterval = 3 * time.Second
	// foreignTTL is how long an address that belongs to another group is not dialed again; groups
	// re-form only after a crash.
	foreignTTL = 5 * time.Second
	// demandHalfLife is the half-life of counts while popularity is stable, which lasts two to
	// four seconds.
	demandHalfLife = time.Second
	// minSaving is the minimum saving for which a switch is started, as a share of the expert part
	// of a step: a switch in progress blocks the reaction to a shift of popularity.
	minSaving = 0.06
	// maxCopyTime bounds the total copy time of one rank per switch if more than one copy fits: one
	// step.
	maxCopyTime = 100 * time.Millisecond
	// planInterval is how often a better map is searched for while no switch is in progress: about
	// once a step. A search takes a few milliseconds of a small processor.
	planInterval = 50 * time.Millisecond
	// normalPace is the pace of an engine whose steps take their usual time.
	normalPace = 1.0
	// eventQueueSize is the capacity of the leader's event queue.
	eventQueueSize = 256
)

var (
	mapSwitches       = expvar.NewInt("map_switches")
	switchesAbandoned = expvar.NewInt("map_switches_abandoned")
	mapCopies         = expvar.NewInt("map_copies")
	leaderTerms       = expvar.NewInt("group_leads")
)

// event is a rank's state received over a link, or the end of the link if rank is nil; link is nil
// as well if dialing failed. An event with listed set is the answer of the store to loadListing.
type event struct {
	address string
	link    *wire.Link
	rank    *proto.GroupRank
	listed  *listing
}

// leadership is the state of one term as leader of a group. It is confined to one goroutine.
type leadership struct {
	m      *Member
	group  string
	leader *shift.Leader
	engine *plan.Engine

	events chan event
	// links holds the links by rank; dialed marks the addresses that are connected or being
	// dialed.
	links  []*wire.Link
	dialed map[string]bool
	rankOf map[*wire.Link]int
	// foreignSince is when an address was found to belong to another group.
	foreignSince map[string]time.Time
	known        []bool
	// reportedPaces is the pace that each rank reports, the ratio of its step time to its usual
	// step time. paces is the same for ranks that count as slow, and normalPace for the others:
	// ranks take slightly longer while they load experts, and maps must not react to the copies
	// that they cause.
	reportedPaces []float64
	paces         []float64
	// starts holds the instances by rank, instances those by the address of their agent.
	starts    []core.Start
	instances map[string]core.Start
	slow      *slowRankWriter
	loads     *rankLoads

	seq    uint64
	sent   []shift.Order
	sentAt []time.Time
	seqs   []uint64

	// sets is the map in use, with version inUse; nextSets is the target of the current switch.
	sets  []*place.Placement
	inUse int64
	// lists holds the ranks' own lists of experts, listsVersion the map versions of these lists.
	lists        [][][]int
	listsVersion []int64
	nextSets     []*place.Placement
	layout       [][][]int
	// change is the encoded difference between the map in use and layout. By rank, over the present
	// link: mapSent is the newest map sent, prepared the newest map confirmed, and baseMap the map
	// in use that the rank can apply a change to.
	change   []byte
	mapSent  []int64
	prepared []int64
	baseMap  []int64
	copies   int
	demand   place.Demand
	// margin estimates how far ahead holds must lie; holdSince is when the hold of the current
	// switch was ordered, zero before that; holdToGo is the time from then until its end was ordered.
	margin     shift.Margin
	holdSince  time.Time
	holdToGo   time.Duration
	phaseSince time.Time
	phase      shift.Phase
	// askedAt is when the leader last began to query all ranks; askNotBefore is the earliest time
	// for the orders of that query.
	askedAt      time.Time
	askNotBefore time.Time

	addresses []string
	listedAt  time.Time
	// isListing is true while loadListing runs, which lister waits for.
	isListing   bool
	lister      sync.WaitGroup
	dialedAt    time.Time
	heartbeatAt time.Time
	plannedAt   time.Time
}

// lead leads the group until ctx ends or a newer leader is observed.
func (m *Member) lead(ctx context.Context, rep Report, fence int64) {
	leaderTerms.Add(1)
	m.Log.Info("leading", "group", rep.Group, "fence", fence, "size", rep.Size)
	d := newLeadership(m, rep, fence)
	// The source must not be called by this term and the next at once.
	defer d.lister.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer d.close()
	go d.slow.run(ctx)
	tick := m.Clock.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-d.events:
			if d.handleEvent(e) {
				m.Log.Info("replaced by a newer leader", "group", d.group, "fence", fence)
				return
			}
		case <-tick.Chan():
			d.connect(ctx)
			d.sendHeartbeats()
			d.updateSlowRanks()
		}
		if d.isReplaced() {
			m.Log.Info("replaced by a newer leader", "group", d.group, "fence", fence)
			return
		}
		if d.resign() {
			return
		}
		d.advance()
	}
}

// isReplaced reports whether a rank, including the one of this process, has seen a later leader.
func (d *leadership) isReplaced() bool {
	a := d.m.Agent
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.fence > d.leader.Fence || d.leader.IsReplaced()
}

func (d *leadership) close() {
	for l := range d.rankOf {
		l.Close()
	}
}

// handleEvent handles an event and reports whether a rank refused this leader for a newer one.
func (d *leadership) handleEvent(e event) bool {
	if e.listed != nil {
		d.useListing(e.listed)
		return false
	}
	if e.rank == nil {
		d.handleLinkEnd(e)
		return false
	}
	rank := e.rank
	if rank.Refused {
		return true
	}
	if rank.Group != d.group || rank.Size != len(d.links) || rank.Rank >= len(d.links) {
		d.foreignSince[e.address] = d.m.Clock.Now()
		e.link.Close()
		return false
	}
	r := rank.Rank
	if old := d.links[r]; old != e.link {
		d.links[r] = e.link
		d.rankOf[e.link] = r
		d.sent[r] = shift.Order{}
		d.prepared[r], d.baseMap[r], d.mapSent[r] = shift.None, shift.None, shift.None
	}
	d.known[r] = true
	d.reportedPaces[r] = paceOf(rank)
	d.starts[r] = d.instances[e.address]
	d.loads.observe(d.m.Clock.Now(), r, d.starts[r], rank)
	if chosen := unpackCounts(rank); len(chosen) > 0 {
		d.demand.Observe(d.m.Clock.Now(), chosen, rank.CountUnit)
	}
	if rank.ExpertLists != nil {
		d.lists[r], d.listsVersion[r] = rank.ExpertLists, rank.ExpertListsVersion
	}
	s := stateOf(rank)
	if rank.Seq != 0 && rank.Seq == d.seqs[r] && rank.NeedsFullMap {
		d.baseMap[r], d.mapSent[r] = shift.None, shift.None
		d.sent[r] = shift.Order{}
		d.leader.Observe(r, s)
		return false
	}
	if rank.Seq != 0 && rank.Seq == d.seqs[r] {
		o := d.sent[r]
		if o.Op == shift.OpPrepare && rank.OK {
			d.prepared[r] = o.Version
		}
		d.sent[r] = shift.Order{}
		d.leader.HandleAnswer(r, o, rank.OK, s)
		return false
	}
	if rank.Seq == 0 {
		d.leader.Observe(r, s)
	}
	return false
}

func stateOf(r *proto.GroupRank) shift.State {
	return shift.State{
		EngineStart: r.EngineStart,
		Epoch:       r.Epoch,
		Open:        r.Open,
		Step:        r.Step,
		Map:         r.Map,
		Prepared:    r.Prepared,
		Armed:       r.Armed,
		ArmedStep:   r.ArmedStep,
		Held:        r.Held,
	}
}

// paceOf returns a rank's pace. A pace below normal shortens no step, and a missing one counts as
// normal.
func paceOf(r *proto.GroupRank) float64 {
	return max(normalPace, r.Pace)
}

// updateSlowRanks determines which ranks are slow and queues them for the store.
func (d *leadership) updateSlowRanks() {
	var paces []core.Pace
	for r, start := range d.starts {
		if start.ID != "" {
			paces = append(paces, core.Pace{
				Start: start,
				Pace:  d.reportedPaces[r],
			})
		}
	}
	d.slow.update(paces)
	for r, start := range d.starts {
		d.paces[r] = normalPace
		if d.slow.isSlow(start) {
			d.paces[r] = d.reportedPaces[r]
		}
	}
}
