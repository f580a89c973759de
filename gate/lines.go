package gate

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"geraniumpass/admit"
)

const (
	// pollEvery is how often a line that holds requests is looked over beside what happens in it: a third of a step of a group.
	pollEvery = 30 * time.Millisecond
	// probesPerSecond is how many requests a dark service is sent by all entries together: its return shows within a step of a group, and a
	// tenth of what callers ask for.
	probesPerSecond = 100
	// probeMost is the longest between two requests of one entry to a dark service, however many entries there are.
	probeMost = 500 * time.Millisecond
)

// lines holds the requests that wait to be sent, by service.
type lines struct {
	mu sync.Mutex
	by map[string]*admit.Line
	// polled are the services whose line is looked over by a timer.
	polled map[string]bool
	clock  clockwork.Clock
}

func newLines(clock clockwork.Clock) *lines {
	return &lines{
		by:     make(map[string]*admit.Line),
		polled: make(map[string]bool),
		clock:  clock,
	}
}

// do runs fn on a service's line and sees to it that it is looked over while requests wait; entries is how many share the service.
func (l *lines) do(service string, entries int, fn func(*admit.Line, time.Time)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	line := l.by[service]
	if line == nil {
		line = admit.NewLine(0)
		l.by[service] = line
	}
	line.ProbeEvery = min(probeMost, time.Second*time.Duration(entries)/probesPerSecond)
	now := l.clock.Now()
	fn(line, now)
	l.watch(service, line, now)
}

func (l *lines) watch(service string, line *admit.Line, now time.Time) {
	if !line.Poll(now) || l.polled[service] {
		return
	}
	l.polled[service] = true
	l.clock.AfterFunc(pollEvery, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.polled[service] = false
		l.watch(service, line, l.clock.Now())
	})
}
