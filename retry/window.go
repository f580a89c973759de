package retry

import (
	"sync"
	"time"
)

const (
	// slotDuration is the resolution of the sliding window. The count covers one slot more than the
	// window, so that no span of the window's length exceeds the allowance.
	slotDuration = 500 * time.Millisecond
	// usableFraction is the part of the allowance that is spent. The rest covers requests that
	// other entries count in a different slot.
	usableFraction = 0.9
)

// Allowance is the retry budget of one service per window, shared by all entries.
type Allowance struct {
	// Ratio is the number of retries that each request earns.
	Ratio float64
	// Slack is the number of retries allowed in addition to those earned.
	Slack  float64
	Window time.Duration
}

// WindowBudget limits the retries to each service over a sliding window. Each entry spends its own
// share of the allowance without coordination with other entries.
type WindowBudget struct {
	allowance Allowance
	// startedAt is when this entry began to count. The retries of an earlier process of the entry
	// are unknown, so it gets no slack in its first window. The slots are numbered from then, by the
	// time that has passed, because the time of day may be set.
	startedAt time.Time

	mu       sync.Mutex
	services map[string]*serviceCounts
}

type serviceCounts struct {
	slots []windowSlot
}

type windowSlot struct {
	index    int64
	requests int
	retries  int
}

// NewWindowBudget returns the budget of an entry that begins to count at now.
func NewWindowBudget(a Allowance, now time.Time) *WindowBudget {
	return &WindowBudget{
		allowance: a,
		startedAt: now,
		services:  make(map[string]*serviceCounts),
	}
}

// RecordRequest counts a caller's request to a service.
func (w *WindowBudget) RecordRequest(now time.Time, service string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slot(now, service).requests++
}

// TryRetry takes one retry to a service and reports whether this entry's share, one of entries,
// allowed it.
func (w *WindowBudget) TryRetry(now time.Time, service string, entries int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	current := w.slot(now, service)
	requests, retries := 0, 0
	oldest := w.slotIndex(now) - int64(w.slotCount()) + 1
	for _, s := range w.services[service].slots {
		if s.index >= oldest {
			requests += s.requests
			retries += s.retries
		}
	}
	slack := w.allowance.Slack / float64(max(1, entries))
	if now.Sub(w.startedAt) < w.allowance.Window {
		slack = 0
	}
	allowed := usableFraction * (w.allowance.Ratio*float64(requests) + slack)
	if float64(retries+1) > allowed {
		return false
	}
	current.retries++
	return true
}

func (w *WindowBudget) slotCount() int {
	return int(w.allowance.Window/slotDuration) + 1
}

func (w *WindowBudget) slotIndex(now time.Time) int64 {
	return int64(max(0, now.Sub(w.startedAt)) / slotDuration)
}

func (w *WindowBudget) slot(now time.Time, service string) *windowSlot {
	c := w.services[service]
	if c == nil {
		c = &serviceCounts{slots: make([]windowSlot, w.slotCount())}
		w.services[service] = c
	}
	index := w.slotIndex(now)
	s := &c.slots[index%int64(len(c.slots))]
	if s.index != index {
		*s = windowSlot{index: index}
	}
	return s
}
