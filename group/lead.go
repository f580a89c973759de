package group

import (
	"context"
	"expvar"
	"slices"
	"time"

	"geraniumpass/core"
	"geraniumpass/place"
	"geraniumpass/plan"
	"geraniumpass/proto"
	"geraniumpass/shift"
	"geraniumpass/wire"
)

const (
	// heartbeatInterval is how often a leader lets every rank know that it lives.
	heartbeatInterval = 150 * time.Millisecond
	// tickEvery is how often a leader looks for what is due beside the answers that come in.
	tickEvery = 25 * time.Millisecond
	// dialEvery is how often ranks without a link are tried, listEvery how often the instances are read again while one is missing.
	dialEvery = 250 * time.Millisecond
	listEvery = 3 * time.Second
	// foreignTTL is how long an address is left alone that belongs to another group; groups are formed anew after a crash only.
	foreignTTL = 5 * time.Second
	// demandHalfLife weighs late counts against early ones while popularity stands still, which it does for two to four seconds.
	demandHalfLife = time.Second
	// minSaving is the share of a step's expert part below which a switch is not begun: while one is under way, no other answers a turn of popularity.
	minSaving = 0.06
	// copyTime is how long the loads of one rank for one switch may take together, if more than one fits: one step.
	copyTime = 100 * time.Millisecond
	// planEvery is how often a better map is looked for while none is under way: about once a step; a look takes some ms of a small processor.
	planEvery = 50 * time.Millisecond
	// usualPace is that of an engine that takes no longer for a step than it should.
	usualPace = 1.0
	// eventQueue bounds the answers that wait for the leader.
	eventQueue = 256
)

var (
	switches   = expvar.NewInt("map_switches")
	abandoned  = expvar.NewInt("map_switches_abandoned")
	mapCopies  = expvar.NewInt("map_copies")
	leadsTaken = expvar.NewInt("group_leads")
)

// event is something that came over a link; without a rank's state it is the end of the link, nil when none came about.
type event struct {
	address string
	link    *wire.Link
	rank    *proto.GroupRank
}

// leading is one lead of a group; all of it belongs to one goroutine.
type leading struct {
	m      *Member
	group  string
	leader *shift.Leader
	engine *plan.Engine

	events chan event
	// links holds the links by rank, dialled the addresses that have one or are being tried.
	links   []*wire.Link
	dialled map[string]bool
	rankOf  map[*wire.Link]int
	// foreign is when an address was found to be of another group.
	foreign map[string]time.Time
	known   []bool
	// reported is how many times its usual time each rank says that it takes for a step, paces the same where it counts as slow: ranks take
	// a little longer while they load experts, and maps must not follow the copies that they are made by.
	reported []float64
	paces    []float64
	// starts are the instances behind the ranks, instances those behind the agents' addresses.
	starts    []core.Start
	instances map[string]core.Start
	slow      *slowRanks

	seq    uint64
	sent   []shift.Order
	sentAt []time.Time
	seqs   []uint64

	// sets is the map in use, of version inUse; next is the one that the present switch goes to.
	sets  []*place.Placement
	inUse int64
	// lists are the ranks' own lists of experts, under the versions listsMap.
	lists    [][][]int
	listsMap []int64
	next     []*place.Placement
	layout   [][][]int
	// change is what layout changes of the map in use; prepared is the newest map that each rank has confirmed over its present link,
	// has the one that came into use, by which it understands a change, and told the newest that it was told.
	change   []byte
	told     []int64
	prepared []int64
	has      []int64
	copies   int
	demand   place.Demand
	// margin learns how far ahead holds have to lie; heldFrom is when the hold of the present switch was ordered, zero before.
	margin   shift.Margin
	heldFrom time.Time
	entered  time.Time
	phase    shift.Phase
	// asked is when all ranks were last to be asked, askFrom when that may begin.
	asked   time.Time
	askFrom time.Time

	addresses []string
	listed    time.Time
	tried     time.Time
	beat      time.Time
	planned   time.Time
}

// lead leads until ctx ends or a newer leader is met.
func (m *Member) lead(ctx context.Context, rep Report, fence int64) {
	leadsTaken.Add(1)
	m.Log.Info("leading", "group", rep.Group, "fence", fence, "size", rep.Size)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d := &leading{
		m:        m,
		group:    rep.Group,
		leader:   shift.NewLeader(fence, rep.Size),
		events:   make(chan event, eventQueue),
		links:    make([]*wire.Link, rep.Size),
		dialled:  make(map[string]bool),
		rankOf:   make(map[*wire.Link]int),
		foreign:  make(map[string]time.Time),
		known:    make([]bool, rep.Size),
		reported: slices.Repeat([]float64{usualPace}, rep.Size),
		paces:    slices.Repeat([]float64{usualPace}, rep.Size),
		starts:   make([]core.Start, rep.Size),
		slow:     newSlowRanks(m.Store, m.SlowPrefix+rep.Group, m.Log),
		sent:     make([]shift.Order, rep.Size),
		sentAt:   make([]time.Time, rep.Size),
		seqs:     make([]uint64, rep.Size),
		lists:    make([][][]int, rep.Size),
		listsMap: make([]int64, rep.Size),
		prepared: make([]int64, rep.Size),
		has:      make([]int64, rep.Size),
		told:     make([]int64, rep.Size),
		inUse:    shift.None,
		demand:   place.Demand{HalfLife: demandHalfLife},
		entered:  m.Clock.Now(),
	}
	defer d.close()
	go d.slow.run(ctx)
	tick := m.Clock.NewTicker(tickEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-d.events:
			if d.take(e) {
				m.Log.Info("replaced as leader", "group", d.group, "fence", fence)
				return
			}
		case <-tick.Chan():
			d.connect(ctx)
			d.speak()
			d.tellSlow()
		}
		if d.isReplaced() {
			m.Log.Info("replaced as leader", "group", d.group, "fence", fence)
			return
		}
		d.advance()
	}
}

// isReplaced returns true when a later leader has been at a rank, this process's own included.
func (d *leading) isReplaced() bool {
	a := d.m.Agent
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.fence > d.leader.Fence || d.leader.IsReplaced()
}

func (d *leading) close() {
	for l := range d.rankOf {
		l.Close()
	}
}

// take handles an event and returns true when a newer leader has been met.
func (d *leading) take(e event) bool {
	if e.rank == nil {
		d.ended(e)
		return false
	}
	rank := e.rank
	if rank.Refused {
		return true
	}
	if rank.Group != d.group || rank.Size != len(d.links) || rank.Rank >= len(d.links) {
		d.foreign[e.address] = d.m.Clock.Now()
		e.link.Close()
		return false
	}
	r := rank.Rank
	if old := d.links[r]; old != e.link {
		d.links[r] = e.link
		d.rankOf[e.link] = r
		d.sent[r] = shift.Order{}
		d.prepared[r], d.has[r], d.told[r] = shift.None, shift.None, shift.None
	}
	d.known[r] = true
	d.reported[r] = paceOf(rank)
	d.starts[r] = d.instances[e.address]
	if chosen := chosenOf(rank); len(chosen) > 0 {
		d.demand.Observe(d.m.Clock.Now(), chosen, rank.Unit)
	}
	if rank.Lists != nil {
		d.lists[r], d.listsMap[r] = rank.Lists, rank.ListsMap
	}
	s := stateOf(rank)
	if rank.Seq != 0 && rank.Seq == d.seqs[r] && rank.Unknown {
		d.has[r], d.told[r] = shift.None, shift.None
		d.sent[r] = shift.Order{}
		d.leader.Take(r, s)
		return false
	}
	if rank.Seq != 0 && rank.Seq == d.seqs[r] {
		o := d.sent[r]
		if o.Op == shift.OpPrepare && rank.OK {
			d.prepared[r] = o.Version
		}
		d.sent[r] = shift.Order{}
		d.leader.Answered(r, o, rank.OK, s)
		return false
	}
	if rank.Seq == 0 {
		d.leader.Take(r, s)
	}
	return false
}

func stateOf(r *proto.GroupRank) shift.State {
	return shift.State{
		Born:      r.Born,
		Epoch:     r.Epoch,
		Open:      r.Open,
		Step:      r.Step,
		Map:       r.Map,
		Prepared:  r.Prepared,
		Armed:     r.Armed,
		ArmedStep: r.ArmedStep,
		Held:      r.Held,
	}
}

// paceOf returns a rank's pace. One that is faster than usual shortens no step, and one that doesn't say is taken for usual.
func paceOf(r *proto.GroupRank) float64 {
	return max(usualPace, r.Pace)
}

// tellSlow finds out which ranks are slow and has the store hold them.
func (d *leading) tellSlow() {
	var paces []core.Pace
	for r, start := range d.starts {
		if start.ID != "" {
			paces = append(paces, core.Pace{
				Start: start,
				Pace:  d.reported[r],
			})
		}
	}
	d.slow.see(paces)
	for r, start := range d.starts {
		d.paces[r] = usualPace
		if d.slow.isSlow(start) {
			d.paces[r] = d.reported[r]
		}
	}
}
