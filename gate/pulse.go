package gate

import (
	"sync"
	"time"
)

const (
	// A service is unavailable if it began no answer for longer than unavailableAfter, more than four
	// steps of a group, and at least unavailableRefusals requests were refused or lost since.
	unavailableAfter    = 400 * time.Millisecond
	unavailableRefusals = 3
	// answeringWindow is how long a service counts as answering after it began an answer, about
	// four steps of a group.
	answeringWindow = 300 * time.Millisecond
)

// serviceHealth tracks whether each service answers at all, as observed by this entry. It is kept
// per service because the ranks of a group fail together.
type serviceHealth struct {
	mu        sync.Mutex
	byService map[string]*serviceState
}

type serviceState struct {
	// answeredAt is when an answer last began. refusals counts the requests refused or lost since.
	answeredAt time.Time
	refusals   int
}

func newServiceHealth() *serviceHealth {
	return &serviceHealth{byService: make(map[string]*serviceState)}
}

func (h *serviceHealth) state(service string) *serviceState {
	s := h.byService[service]
	if s == nil {
		s = &serviceState{}
		h.byService[service] = s
	}
	return s
}

// recordAnswer records that a service began to answer a request.
func (h *serviceHealth) recordAnswer(service string, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.state(service)
	s.answeredAt = now
	s.refusals = 0
}

// recordRefusal records that an upstream of a service refused or lost a request.
func (h *serviceHealth) recordRefusal(service string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.state(service).refusals++
}

// isUnavailable reports whether a service seems unable to serve any request.
func (h *serviceHealth) isUnavailable(service string, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.state(service)
	return s.refusals >= unavailableRefusals && now.Sub(s.answeredAt) > unavailableAfter
}

// answeredAfter returns the time from t to the last answer that a service began, negative if it
// began none since t.
func (h *serviceHealth) answeredAfter(service string, t time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.state(service).answeredAt.Sub(t)
}

// isAnswering reports whether the service began an answer within answeringWindow.
func (h *serviceHealth) isAnswering(service string, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return now.Sub(h.state(service).answeredAt) < answeringWindow
}
