package feed

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"geraniumpass/loads"
	"geraniumpass/view"
)

// subscription is the link to one agent.
type subscription struct {
	agent  agent
	cancel context.CancelFunc
	// group is the group of a live subscription, empty before the first status.
	group string
}

// event is a status that a subscription received, or its end if group is nil.
type event struct {
	from   *subscription
	group  *loads.Group
	reason end
}

// session holds the subscriptions of a running Feeder.
type session struct {
	*Feeder
	selection *selection
	// snapshot is the one that the selection's agents were last taken from.
	snapshot *view.Snapshot
	// subscriptions is keyed by the agent's address.
	subscriptions map[string]*subscription
	hearing       *hearing
	events        chan event
	links         sync.WaitGroup
}

func newSession(f *Feeder) *session {
	return &session{
		Feeder:        f,
		selection:     newSelection(f.Domain, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		subscriptions: make(map[string]*subscription),
		hearing:       newHearing(),
		events:        make(chan event),
	}
}

// step takes over changes of the instances and dials the agents that are needed.
func (s *session) step(ctx context.Context) {
	now := s.Clock.Now()
	if snapshot := s.View.Now(); snapshot != s.snapshot {
		s.snapshot = snapshot
		for _, address := range s.selection.list(agentsOf(snapshot, s.Port, s.Log), now) {
			s.end(s.subscriptions[address], endUnneeded)
		}
	}
	for {
		a, ok := s.selection.next(now)
		if !ok {
			break
		}
		s.subscribe(ctx, a)
	}
	for _, group := range s.hearing.lost(s.selection.groups(), now) {
		s.Log.Info("nothing is heard of the group", "group", group)
	}
}

func (s *session) subscribe(ctx context.Context, a agent) {
	own, cancel := context.WithCancel(ctx)
	sub := &subscription{
		agent:  a,
		cancel: cancel,
	}
	s.subscriptions[a.address] = sub
	post := func(e event) {
		select {
		case s.events <- e:
		case <-ctx.Done():
		}
	}
	s.links.Go(func() {
		reason := s.follow(own, a, func(g *loads.Group) {
			post(event{
				from:  sub,
				group: g,
			})
		})
		post(event{
			from:   sub,
			reason: reason,
		})
	})
}

// interval returns the time until the next step unless a subscription ends or begins.
func (s *session) interval() time.Duration {
	if hasInstances(s.snapshot) && s.selection.isSettled(s.Clock.Now()) {
		return settledInterval
	}
	return selectInterval
}

// hasInstances reports whether the instances are known, of which a first list is missing for a moment.
func hasInstances(s *view.Snapshot) bool {
	return s != nil && s.Table != nil && len(s.Instances) > 0
}

// handle takes over what a subscription has received, and reports whether others may be needed now.
func (s *session) handle(e event) bool {
	if s.subscriptions[e.from.agent.address] != e.from {
		return false
	}
	if e.group == nil {
		s.end(e.from, e.reason)
		return true
	}
	now := s.Clock.Now()
	if s.hearing.heard(e.group.Name, now) {
		s.Log.Info("group is heard of again", "group", e.group.Name)
	}
	first := s.selection.heard(e.from.agent.address, e.group)
	if e.from.group == e.group.Name && !first {
		return false
	}
	for _, address := range s.selection.surplus() {
		s.end(s.subscriptions[address], endUnneeded)
	}
	if s.subscriptions[e.from.agent.address] == e.from {
		s.begin(e.from, e.group.Name)
	}
	return true
}

// begin records that a subscription is a feed of a group.
func (s *session) begin(sub *subscription, group string) {
	if sub.group == "" {
		counts.Add(countLive, 1)
	}
	sub.group = group
	s.Log.Info("feed of group begins", "group", group, "agent", sub.agent.address, "domain", sub.agent.domain)
}

// end ends a subscription. What its link still receives is not recorded.
func (s *session) end(sub *subscription, reason end) {
	delete(s.subscriptions, sub.agent.address)
	s.selection.ended(sub.agent.address, reason != endUnneeded, s.Clock.Now())
	sub.cancel()
	if sub.group == "" {
		return
	}
	counts.Add(countLive, -1)
	s.Log.Info("feed of group ends", "group", sub.group, "agent", sub.agent.address, "reason", reason.String())
}

// close ends all subscriptions and waits until their links are closed.
func (s *session) close() {
	for _, sub := range s.subscriptions {
		s.end(sub, endUnneeded)
	}
	s.links.Wait()
}
