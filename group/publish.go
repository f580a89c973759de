package group

import (
	"context"
	"expvar"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"geraniumpass/loads"
	"geraniumpass/proto"
	"geraniumpass/wire"
)

const (
	// busyPublishInterval and idlePublishInterval are the intervals of the loads sent to subscribers.
	busyPublishInterval = 100 * time.Millisecond
	idlePublishInterval = 300 * time.Millisecond
	// publishTick is how often an agent checks whether the group's condition has changed.
	publishTick = 20 * time.Millisecond
	// noVersion is the version of the incarnations on a link that has had none.
	noVersion = 0
)

var (
	loadsPublished  = expvar.NewInt("group_loads_published")
	loadSubscribers = expvar.NewInt("group_load_subscribers")
)

// publisher sends the load of a group to the entries that subscribed.
type publisher struct {
	log hclog.Logger

	mu sync.Mutex
	// links holds the version of the incarnations that each subscriber has had.
	links map[*wire.Link]int64
	// last is the condition at sentAt, when the load was last sent.
	last   condition
	sentAt time.Time
	// stalledFor is how long the group has been stalled by the last load.
	stalledFor time.Duration
}

func newPublisher(log hclog.Logger) *publisher {
	return &publisher{
		log:   log,
		links: make(map[*wire.Link]int64),
	}
}

// subscribe adds a link, which gets the load with the next check. Entries repeat the request to keep
// the link open.
func (p *publisher) subscribe(l *wire.Link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.links[l]; ok {
		return
	}
	p.links[l] = noVersion
	p.sentAt = time.Time{}
	loadSubscribers.Add(1)
}

func (p *publisher) unsubscribe(l *wire.Link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.links[l]; ok {
		delete(p.links, l)
		loadSubscribers.Add(-1)
	}
}

// publishUntil sends the group's load to the subscribers until ctx ends.
func (a *Agent) publishUntil(ctx context.Context) {
	tick := a.Clock.NewTicker(publishTick)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.Chan():
			a.publish()
		}
	}
}

func (a *Agent) publish() {
	now := a.Clock.Now()
	a.mu.Lock()
	g, ok := a.seen.group(now)
	version, step := a.seen.startsVersion, a.seen.own.Step
	a.mu.Unlock()
	if ok && a.publisher.isDue(now, &g, step) {
		a.publisher.send(&g, version)
	}
}

// isDue reports whether the load has to be sent at now, and logs a change of the condition.
func (p *publisher) isDue(now time.Time, g *loads.Group, step int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	interval := idlePublishInterval
	if isBusy(g) {
		interval = busyPublishInterval
	}
	c := conditionOf(g)
	if c.equals(p.last) && now.Sub(p.sentAt) < interval {
		p.stalledFor = max(p.stalledFor, g.StalledFor)
		return false
	}
	p.logChange(g, c, step)
	p.last, p.sentAt = c, now
	p.stalledFor = g.StalledFor
	return true
}

func (p *publisher) logChange(g *loads.Group, c condition, step int64) {
	switch {
	case c.stalled && !p.last.stalled:
		p.log.Info("group stalled", "group", g.Name, "ms", g.StalledFor.Milliseconds(), "step", step, "epoch", g.Epoch)
	case !c.stalled && p.last.stalled:
		p.log.Info("group goes on", "group", g.Name, "ms", p.stalledFor.Milliseconds(), "step", step, "epoch", g.Epoch)
	}
	if c.group == p.last.group && c.open != p.last.open {
		p.log.Info("group opened or closed", "group", g.Name, "open", c.open, "step", step, "epoch", g.Epoch)
	}
}

// send sends the load to all subscribers, with the incarnations to those that have not had them.
func (p *publisher) send(g *loads.Group, version int64) {
	bare := &proto.Frame{GroupLoad: loads.Encode(g, version, false)}
	full := &proto.Frame{GroupLoad: loads.Encode(g, version, true)}
	hasRanks := len(g.Ranks) > 0
	for l, needsStarts := range p.recipients(version, hasRanks) {
		f := bare
		if needsStarts {
			f = full
		}
		// The end of a link ends its subscription in Serve.
		_ = l.Send(f)
		loadsPublished.Add(1)
	}
}

// recipients returns the subscribers and whether each needs the incarnations, which it counts as sent.
func (p *publisher) recipients(version int64, hasRanks bool) map[*wire.Link]bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[*wire.Link]bool, len(p.links))
	for l, had := range p.links {
		out[l] = hasRanks && had != version
		if hasRanks {
			p.links[l] = version
		}
	}
	return out
}
