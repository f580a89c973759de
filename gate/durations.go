package gate

import (
	"sync"
	"time"

	"geraniumpass/plan"
)

const (
	// minDurationSamples and minDurationAge are the least number of requests and the least time over which
	// the longest duration of a route is taken.
	minDurationSamples = 64
	minDurationAge     = 30 * time.Second
	// durationMargin times the longest recent duration is how long a request is expected to last.
	durationMargin = 1.25
)

// durations holds the longest recent durations of the requests of each route. It is safe for concurrent
// use.
type durations struct {
	mu      sync.Mutex
	byRoute map[string]*routeDurations
}

// routeDurations is the longest duration in the present period and in the one before it.
type routeDurations struct {
	since    time.Time
	samples  int
	longest  time.Duration
	previous time.Duration
}

func newDurations() *durations {
	return &durations{byRoute: make(map[string]*routeDurations)}
}

// record records how long a request of a route has lasted at now.
func (d *durations) record(route string, took time.Duration, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	one := d.byRoute[route]
	if one == nil {
		one = &routeDurations{since: now}
		d.byRoute[route] = one
	}
	if one.samples >= minDurationSamples && now.Sub(one.since) >= minDurationAge {
		*one = routeDurations{
			since:    now,
			previous: one.longest,
		}
	}
	one.samples++
	one.longest = max(one.longest, took)
}

// expected returns how long a request of the route may be expected to last: longer than the longest recent
// one, or the route's latency target if there was none.
func (d *durations) expected(route *plan.Route) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	one := d.byRoute[route.Name]
	if one == nil {
		return route.Aim
	}
	return time.Duration(durationMargin * float64(max(one.longest, one.previous)))
}

// sweep forgets the routes that a routing table doesn't have.
func (d *durations) sweep(t *plan.Table) {
	if t == nil {
		return
	}
	names := make(map[string]bool, len(t.Routes))
	for i := range t.Routes {
		names[t.Routes[i].Name] = true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for name := range d.byRoute {
		if !names[name] {
			delete(d.byRoute, name)
		}
	}
}
