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
	// changed has an element if anything that is sent may have changed since the last check.
	changed chan struct{}

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
		log:     log,
		changed: make(chan struct{}, 1),
		links:   make(map[*wire.Link]int64),
	}
}

// notify makes the group's condition be checked now.
func (p *publisher) notify() {
	select {
	case p.changed <- struct{}{}:
	default:
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
	p.notify()
}

func (p *publisher) unsubscribe(l *wire.Link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.links[l]; ok {
		delete(p.links, l)
		loadSubscribers.Add(-1)
	}
}

// publishUntil sends the group's load to the subscribers until ctx ends: whenever the condition changes,
// which shows in a report of the engine or in loads of the leader, and otherwise at intervals.
func (a *Agent) publishUntil(ctx context.Context) {
	timer := a.Clock.NewTimer(idlePublishInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.publisher.changed:
		case <-timer.Chan():
		}
		timer.Reset(a.publish())
	}
}

// publish sends the load if it is due, and returns the time until it is due unless something changes.
func (a *Agent) publish() time.Duration {
	now := a.Clock.Now()
	a.mu.Lock()
	g, ok := a.seen.group(now)
	version, step := a.seen.startsVersion, a.seen.own.Step
	a.mu.Unlock()
	if !ok {
		return idlePublishInterval
	}
	due, next := a.publisher.isDue(now, &g, step)
	if due {
		a.publisher.send(&g, version)
	}
	return next
}

// isDue reports whether the load has to be sent at now, and logs a change of the condition. next is the
// time until it has to be sent if the condition stays.
func (p *publisher) isDue(now time.Time, g *loads.Group, step int64) (due bool, next time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	interval := idlePublishInterval
	if isBusy(g) {
		interval = busyPublishInterval
	}
	c := conditionOf(g)
	if since := now.Sub(p.sentAt); c.equals(p.last) && since < interval {
		p.stalledFor = max(p.stalledFor, g.StalledFor)
		return false, interval - since
	}
	p.logChange(g, c, step)
	p.last, p.sentAt = c, now
	p.stalledFor = g.StalledFor
	return true, interval
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
	recipients := p.recipients(version, len(g.Ranks) > 0)
	if len(recipients) == 0 {
		return
	}
	bare := &proto.Frame{GroupLoad: loads.Encode(g, version, false)}
	full := &proto.Frame{GroupLoad: loads.Encode(g, version, true)}
	frames := newEncodedFrames(p.log)
	for l, needsStarts := range recipients {
		f := bare
		if needsStarts {
			f = full
		}
		// The end of a link ends its subscription in Serve.
		frames.send(l, f)
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
