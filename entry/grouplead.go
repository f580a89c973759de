package entry

import (
	"context"
	"sync"
	"time"

	"geraniumpass/config"
	"geraniumpass/epmap"
	"geraniumpass/place"
	"geraniumpass/proto"
	"geraniumpass/store"
)

const (
	leaderPrefix = "geraniumpass/groups/"
	leaderLease  = 5 * time.Second
	keepEvery    = 1500 * time.Millisecond
	seekEvery    = 2 * time.Second
	peekEvery    = 2 * time.Second
	// inquireEvery is how soon a rank that holds the promise of a leader long gone is found out.
	inquireEvery = time.Minute
	resendEvery  = 200 * time.Millisecond
	stageLimit   = 30 * time.Second
	capLimit     = 2 * time.Second
	// lookAhead is the time that a switch is set ahead of the ranks' steps, so that every cap arrives before its step.
	lookAhead = 150 * time.Millisecond
	// copyCost is the time that a group is taken to lose for each expert that it loads.
	copyCost = 10 * time.Millisecond
	surgeAt  = 0.9
)

// groupLead is this entry's part in the lead of one group.
type groupLead struct {
	e    *Entry
	name string

	mu        sync.Mutex
	target    config.Group
	leader    *epmap.Leader
	balancer  *place.Rebalancer
	lease     store.Lease
	kept      time.Time
	sought    time.Time
	sentAt    time.Time
	sentSeq   uint64
	phaseAt   time.Time
	phaseSeq  uint64
	inquired  time.Time
	peeked    time.Time
	lastStep  uint64
	lastAt    time.Time
	stepRate  float64
	agents    []string
	skew      float64
	moves     int
	switching bool
}

func newGroupLead(e *Entry, g config.Group) *groupLead {
	return &groupLead{
		e:        e,
		name:     g.Name,
		target:   g,
		balancer: place.NewRebalancer(placeTarget(g), place.Cost{PerCopy: copyCost}),
	}
}

func placeTarget(g config.Group) place.Target {
	return place.Target{
		Skew:         g.Skew,
		MovesPerHour: g.MovesPerHour,
		HoldInSurge:  g.HoldInSurge,
	}
}

func (g *groupLead) retarget(to config.Group) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.target = to
	g.balancer.SetTarget(placeTarget(to))
}

// tick takes the lead, keeps it, and drives the switch that is under way.
func (g *groupLead) tick(ctx context.Context) {
	now := g.e.clock.Now()
	g.mu.Lock()
	leading := g.leader != nil && g.leader.Phase != epmap.PhaseDeposed
	keep := leading && now.Sub(g.kept) > keepEvery
	seek := !leading && now.Sub(g.sought) > seekEvery
	g.mu.Unlock()
	switch {
	case keep:
		g.keep(ctx)
	case seek:
		g.seek(ctx)
	}
	g.drive(now)
}

// drive sends what is open, gives up what takes too long, and starts inquiries and switches.
func (g *groupLead) drive(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	l := g.leader
	if l == nil || l.Phase == epmap.PhaseDeposed {
		return
	}
	if l.Seq != g.phaseSeq {
		g.phaseSeq, g.phaseAt = l.Seq, now
	}
	inPhase := now.Sub(g.phaseAt)
	if l.Phase == epmap.PhaseStage && inPhase > stageLimit || l.Phase == epmap.PhaseCap && inPhase > capLimit {
		g.e.log.Warn("switch given up", "group", g.name, "phase", l.Phase)
		l.Abort()
	}
	if l.Phase == epmap.PhaseSteady {
		g.steady(now)
	}
	if l.Seq != g.sentSeq || now.Sub(g.sentAt) > resendEvery {
		g.sentSeq, g.sentAt = l.Seq, now
		g.send()
	}
}

func (g *groupLead) send() {
	for rank := range g.agents {
		g.sendTo(rank, g.leader.Order(rank))
	}
}

func (g *groupLead) sendTo(rank int, o *proto.Order) {
	if o == nil {
		return
	}
	p := g.e.peers.reach(g.agents[rank])
	if p == nil {
		return
	}
	if link := p.present(); link != nil {
		_ = link.Send(&proto.Frame{Order: o})
	}
}

// reply hands a rank's reply to the leader and goes on at once when that ends a phase.
func (g *groupLead) reply(agent string, r *proto.OrderReply) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.leader == nil {
		return
	}
	for rank, id := range g.agents {
		if id != agent {
			continue
		}
		before := g.leader.Phase
		if rank == 0 && g.leader.Peeked(r) {
			g.learn()
			return
		}
		g.leader.Handle(rank, r)
		g.phaseChanged(before)
	}
}

func (g *groupLead) phaseChanged(before epmap.Phase) {
	l := g.leader
	if l.Phase == before {
		return
	}
	if before == epmap.PhaseInquire && l.Phase == epmap.PhaseSteady {
		g.inquired = g.e.clock.Now()
		g.learn()
	}
	if before == epmap.PhaseGrant && l.Phase == epmap.PhaseSteady {
		g.e.log.Info("map switched", "group", g.name, "version", l.Plan.Version)
		g.peeked = time.Time{}
	}
	if l.Phase == epmap.PhaseDeposed {
		g.e.log.Info("deposed", "group", g.name)
		return
	}
	if l.Seq != g.sentSeq {
		g.sentSeq, g.sentAt = l.Seq, g.e.clock.Now()
		g.send()
	}
}

// learn takes in what an inquiry has found: popularity and the pace of the steps.
func (g *groupLead) learn() {
	now := g.e.clock.Now()
	for i := range g.leader.Ranks {
		s := &g.leader.Ranks[i].State
		if len(s.Tokens) > 0 {
			g.balancer.Observe(now, s.Tokens)
		}
	}
	step := g.leader.Ranks[0].State.Step
	if d := now.Sub(g.lastAt).Seconds(); g.lastStep > 0 && step > g.lastStep && d > 0 {
		g.stepRate = float64(step-g.lastStep) / d
	}
	g.lastStep, g.lastAt = step, now
	g.switching = false
}

// steady decides on a switch after each inquiry, as long as the lease is known to hold.
func (g *groupLead) steady(now time.Time) {
	if now.Sub(g.inquired) > inquireEvery {
		g.leader.Inquire()
		return
	}
	if now.Sub(g.peeked) > peekEvery {
		g.peeked = now
		g.sendTo(0, g.leader.Peek())
	}
	if g.switching || now.Sub(g.kept) > leaderLease {
		return
	}
	g.switching = true
	current := g.current()
	if current == nil {
		return
	}
	d := g.balancer.Decide(now, current, g.surge())
	g.skew = d.Before
	if d.Verdict != place.VerdictMove {
		return
	}
	encoded, err := d.Placement.Encode()
	if err != nil {
		return
	}
	g.moves += d.Copies
	g.e.log.Info("switching map", "group", g.name, "copies", d.Copies, "skew_before", d.Before, "skew_after", d.After)
	g.leader.Propose(encoded, uint64(g.stepRate*lookAhead.Seconds()))
}

func (g *groupLead) current() *place.Placement {
	for i := range g.leader.Ranks {
		if b := g.leader.Ranks[i].State.Map; len(b) > 0 {
			p, err := place.Decode(b)
			if err == nil && p.Ranks == len(g.agents) && p.Valid() {
				return p
			}
		}
	}
	return nil
}

// surge returns true while the ranks' engines are full or work waits before them.
func (g *groupLead) surge() bool {
	running, limit := 0, 0
	for _, id := range g.agents {
		p := g.e.peers.get(id)
		if p == nil {
			continue
		}
		p.mu.Lock()
		if p.report != nil {
			running += p.report.Running + lenQueued(p.report)
			limit += p.report.Limit
		}
		p.mu.Unlock()
	}
	return limit > 0 && float64(running) >= surgeAt*float64(limit)
}

func lenQueued(r *proto.Report) int {
	n := 0
	for _, q := range r.Queued {
		n += q.N
	}
	return n
}

func (g *groupLead) status() GroupStatus {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := GroupStatus{
		Group: g.name,
		Skew:  g.skew,
		Moves: g.moves,
	}
	if g.leader != nil {
		s.Leading = g.leader.Phase != epmap.PhaseDeposed
		s.Phase = g.leader.Phase.String()
		s.Version = g.leader.Version()
	}
	return s
}
