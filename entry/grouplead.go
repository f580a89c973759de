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
	leaderPrefix       = "geraniumpass/groups/"
	leaderLeaseTTL     = 5 * time.Second
	leaseRenewInterval = 1500 * time.Millisecond
	campaignInterval   = 2 * time.Second
	peekInterval       = 2 * time.Second
	// inquiryInterval bounds how long a rank's promise to a defunct leader goes undetected.
	inquiryInterval = time.Minute
	resendInterval  = 200 * time.Millisecond
	stageTimeout    = 30 * time.Second
	capTimeout      = 2 * time.Second
	// switchLeadTime is how far ahead of the ranks' current step a switch is scheduled, so that
	// every cap arrives before its step.
	switchLeadTime = 150 * time.Millisecond
	// expertLoadCost is the assumed time lost by a group per expert loaded.
	expertLoadCost   = 10 * time.Millisecond
	surgeUtilization = 0.9
)

// groupLeader is this entry's leadership state for one group.
type groupLeader struct {
	e    *Entry
	name string

	mu             sync.Mutex
	target         config.Group
	leader         *epmap.Leader
	balancer       *place.Rebalancer
	lease          store.Lease
	leaseRenewedAt time.Time
	campaignedAt   time.Time
	sentAt         time.Time
	sentSeq        uint64
	phaseAt        time.Time
	phaseSeq       uint64
	inquiredAt     time.Time
	peekedAt       time.Time
	lastStep       uint64
	lastStepAt     time.Time
	stepRate       float64
	agents         []string
	skew           float64
	expertsCopied  int
	// decided is set once a switch was considered for the latest reported state.
	decided bool
}

func newGroupLeader(e *Entry, g config.Group) *groupLeader {
	return &groupLeader{
		e:        e,
		name:     g.Name,
		target:   g,
		balancer: place.NewRebalancer(placeTarget(g), place.Cost{PerCopy: expertLoadCost}),
	}
}

func placeTarget(g config.Group) place.Target {
	return place.Target{
		Skew:         g.Skew,
		MovesPerHour: g.MovesPerHour,
		HoldInSurge:  g.HoldInSurge,
	}
}

func (g *groupLeader) setTarget(to config.Group) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.target = to
	g.balancer.SetTarget(placeTarget(to))
}

// tick campaigns for the leadership or renews its lease, and advances the current switch.
func (g *groupLeader) tick(ctx context.Context) {
	now := g.e.clock.Now()
	g.mu.Lock()
	leading := g.leader != nil && g.leader.Phase != epmap.PhaseDeposed
	keep := leading && now.Sub(g.leaseRenewedAt) > leaseRenewInterval
	seek := !leading && now.Sub(g.campaignedAt) > campaignInterval
	g.mu.Unlock()
	switch {
	case keep:
		g.renewLease(ctx)
	case seek:
		g.campaign(ctx)
	}
	g.advance(now)
}

// advance resends outstanding orders, aborts phases that time out, and starts inquiries and
// switches.
func (g *groupLeader) advance(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	l := g.leader
	if l == nil || l.Phase == epmap.PhaseDeposed {
		return
	}
	if l.Seq != g.phaseSeq {
		g.phaseSeq, g.phaseAt = l.Seq, now
	}
	phaseAge := now.Sub(g.phaseAt)
	if l.Phase == epmap.PhaseStage && phaseAge > stageTimeout || l.Phase == epmap.PhaseCap && phaseAge > capTimeout {
		g.e.log.Warn("map switch timed out", "group", g.name, "phase", l.Phase)
		l.Abort()
	}
	if l.Phase == epmap.PhaseSteady {
		g.tickSteady(now)
	}
	if l.Seq != g.sentSeq || now.Sub(g.sentAt) > resendInterval {
		g.sentSeq, g.sentAt = l.Seq, now
		g.send()
	}
}

func (g *groupLeader) send() {
	for rank := range g.agents {
		g.sendTo(rank, g.leader.Order(rank))
	}
}

func (g *groupLeader) sendTo(rank int, o *proto.Order) {
	if o == nil {
		return
	}
	p := g.e.peers.connect(g.agents[rank])
	if p == nil {
		return
	}
	if link := p.currentLink(); link != nil {
		_ = link.Send(&proto.Frame{Order: o})
	}
}

// handleReply passes a rank's reply to the leader and sends the next orders immediately if that
// ends a phase.
func (g *groupLeader) handleReply(agent string, r *proto.OrderReply) {
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
		if rank == 0 && g.leader.HandlePoll(r) {
			g.recordState()
			return
		}
		g.leader.Handle(rank, r)
		g.onPhaseChange(before)
	}
}

func (g *groupLeader) onPhaseChange(before epmap.Phase) {
	l := g.leader
	if l.Phase == before {
		return
	}
	if before == epmap.PhaseInquire && l.Phase == epmap.PhaseSteady {
		g.inquiredAt = g.e.clock.Now()
		g.recordState()
	}
	if before == epmap.PhaseGrant && l.Phase == epmap.PhaseSteady {
		g.e.log.Info("map switched", "group", g.name, "version", l.Plan.Version)
		g.peekedAt = time.Time{}
	}
	if l.Phase == epmap.PhaseDeposed {
		g.e.log.Info("group leadership lost", "group", g.name)
		return
	}
	if l.Seq != g.sentSeq {
		g.sentSeq, g.sentAt = l.Seq, g.e.clock.Now()
		g.send()
	}
}

// recordState updates expert popularity and the step rate from the ranks' reported state.
func (g *groupLeader) recordState() {
	now := g.e.clock.Now()
	for i := range g.leader.Ranks {
		s := &g.leader.Ranks[i].State
		if len(s.Tokens) > 0 {
			g.balancer.Observe(now, s.Tokens)
		}
	}
	step := g.leader.Ranks[0].State.Step
	if d := now.Sub(g.lastStepAt).Seconds(); g.lastStep > 0 && step > g.lastStep && d > 0 {
		g.stepRate = float64(step-g.lastStep) / d
	}
	g.lastStep, g.lastStepAt = step, now
	g.decided = false
}

// tickSteady decides on a switch once after each inquiry or peek, provided that the lease was
// renewed within its TTL.
func (g *groupLeader) tickSteady(now time.Time) {
	if now.Sub(g.inquiredAt) > inquiryInterval {
		g.leader.Inquire()
		return
	}
	if now.Sub(g.peekedAt) > peekInterval {
		g.peekedAt = now
		g.sendTo(0, g.leader.PollOrder())
	}
	if g.decided || now.Sub(g.leaseRenewedAt) > leaderLeaseTTL {
		return
	}
	g.decided = true
	current := g.currentPlacement()
	if current == nil {
		return
	}
	d := g.balancer.Decide(now, current, g.surging())
	g.skew = d.Before
	if d.Verdict != place.VerdictMove {
		return
	}
	encoded, err := d.Placement.Encode()
	if err != nil {
		return
	}
	g.expertsCopied += d.Copies
	g.e.log.Info("switching map", "group", g.name, "copies", d.Copies, "skew_before", d.Before, "skew_after", d.After)
	g.leader.Propose(encoded, uint64(g.stepRate*switchLeadTime.Seconds()))
}

func (g *groupLeader) currentPlacement() *place.Placement {
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

// surging reports whether the ranks' running and queued requests reach surgeUtilization of their
// combined limit.
func (g *groupLeader) surging() bool {
	running, limit := 0, 0
	for _, id := range g.agents {
		p := g.e.peers.get(id)
		if p == nil {
			continue
		}
		p.mu.Lock()
		if p.report != nil {
			running += p.report.Running + queuedRequests(p.report)
			limit += p.report.Limit
		}
		p.mu.Unlock()
	}
	return limit > 0 && float64(running) >= surgeUtilization*float64(limit)
}

func queuedRequests(r *proto.Report) int {
	n := 0
	for _, q := range r.Queued {
		n += q.N
	}
	return n
}

func (g *groupLeader) status() GroupStatus {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := GroupStatus{
		Group: g.name,
		Skew:  g.skew,
		Moves: g.expertsCopied,
	}
	if g.leader != nil {
		s.Leading = g.leader.Phase != epmap.PhaseDeposed
		s.Phase = g.leader.Phase.String()
		s.Version = g.leader.Version()
	}
	return s
}
