package gate

import (
	"sync"
	"time"
)

const (
	// unavailableAfter and unavailableRefusals say when a service counts as unable to serve: nothing has come from it for longer than four
	// steps of a group take, and several requests were refused meanwhile.
	unavailableAfter    = 400 * time.Millisecond
	unavailableRefusals = 3
	// answeringFor is how long after an answer began a service counts as answering: some four steps of a group.
	answeringFor = 300 * time.Millisecond
)

// pulse is whether services answer at all, as this entry sees it: the ranks of a group fail together.
type pulse struct {
	mu sync.Mutex
	by map[string]*beat
}

type beat struct {
	// answered is when an answer last began to come, refused how many requests found no upstream since.
	answered time.Time
	refused  int
}

func newPulse() *pulse {
	return &pulse{by: make(map[string]*beat)}
}

func (p *pulse) get(service string) *beat {
	b := p.by[service]
	if b == nil {
		b = &beat{}
		p.by[service] = b
	}
	return b
}

// answered notes that a service has begun to answer a request.
func (p *pulse) answered(service string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.get(service)
	b.answered = now
	b.refused = 0
}

// refused notes that an upstream of a service refused or lost a request.
func (p *pulse) refused(service string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.get(service).refused++
}

// isUnavailable returns true while a service seems unable to serve anything.
func (p *pulse) isUnavailable(service string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.get(service)
	return b.refused >= unavailableRefusals && now.Sub(b.answered) > unavailableAfter
}

// since returns how long after a moment a service last began to answer, less than zero when it has not since.
func (p *pulse) since(service string, t time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.get(service).answered.Sub(t)
}

// isAnswering returns true when an answer of the service has begun lately.
func (p *pulse) isAnswering(service string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Sub(p.get(service).answered) < answeringFor
}
