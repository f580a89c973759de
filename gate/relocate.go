package gate

import (
	"context"
	"sync"
	"time"

	"github.com/samber/lo"

	"geraniumpass/core"
	"geraniumpass/loads"
	"geraniumpass/retry"
)

const (
	// moveDecisionInterval is how long a request that has a reason to leave and stays is not decided
	// on again, so that the load of the others includes those that have left.
	moveDecisionInterval = 250 * time.Millisecond
	// relocationInterval is the shortest time between two evaluations.
	relocationInterval = 100 * time.Millisecond
)

// departures holds the attempts that may leave their instances. It is safe for concurrent use.
type departures struct {
	mu  sync.Mutex
	all map[*departure]struct{}
}

func newDepartures() *departures {
	return &departures{all: make(map[*departure]struct{})}
}

func (d *departures) add(one *departure) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.all[one] = struct{}{}
}

func (d *departures) remove(one *departure) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.all, one)
}

// due returns the attempts that may be decided on at now.
func (d *departures) due(now time.Time) []*departure {
	d.mu.Lock()
	defer d.mu.Unlock()
	return lo.Filter(lo.Keys(d.all), func(one *departure, _ int) bool { return one.isDue(now) })
}

// RunRelocation calls Relocate whenever the load of the groups has changed, until ctx is done.
func (g *Gate) RunRelocation(ctx context.Context) {
	for ctx.Err() == nil {
		changed := g.groups.Changed()
		g.observeRoom()
		g.Relocate()
		retry.Sleep(ctx, relocationInterval)
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}

// Relocate asks the requests that should leave their instances to do so.
func (g *Gate) Relocate() {
	now := g.clock.Now()
	due := g.departures.due(now)
	if len(due) == 0 {
		return
	}
	known := g.groups.Membership(lo.Map(due, func(d *departure, _ int) core.Start { return d.placement.Start }))
	byService := make(map[string]map[string]loads.Status)
	for i, d := range due {
		own := known.Members[i].Group
		if own < 0 {
			continue
		}
		groups, ok := byService[d.service]
		if !ok {
			groups = g.groupsOf(d.service)
			byService[d.service] = groups
		}
		move := loads.Decide(known.Groups[own], groups, d.placement, g.randomFloat())
		if move.Reason != "" {
			d.recordDraw(now)
		}
		if move.Leaves {
			d.ask(move.Reason)
		}
	}
}

// groupsOf returns the groups with a recent status that have a usable instance of the service, by name.
func (g *Gate) groupsOf(service string) map[string]loads.Status {
	return g.groups.Named(g.groupNamesOf(g.view.Now(), service))
}

func startsOf(list []core.Instance) []core.Start {
	return lo.Map(list, func(in core.Instance, _ int) core.Start { return in.Start() })
}

func (g *Gate) randomFloat() float64 {
	g.randomMu.Lock()
	defer g.randomMu.Unlock()
	return g.random.Float64()
}
