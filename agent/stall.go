package agent

import "time"

const (
	// firstPartTimeout and nextPartTimeout bound the wait for a stream's first part and for each
	// later part.
	firstPartTimeout = 10 * time.Second
	nextPartTimeout  = 4 * time.Second
)

// failStalled fails streams on which the upstream has stalled, so that their entries can retry
// elsewhere, and returns the number of attempts still blocked on the upstream.
func (a *Agent) failStalled() int64 {
	now := a.clock.Now()
	a.runs.each(func(r *run) {
		if !r.markStalled(now) {
			return
		}
		a.stalledAttempts.Add(1)
		a.log.Warn("stream stalled: upstream sent no part within its timeout", "request", r.dispatch.Request)
		r.append(lostPart(), a.sessions, now)
		r.abandon()
		a.upstream.Cancel(r.dispatch.Request)
	})
	return a.stalledAttempts.Load()
}

// markStalled reports, once per run, whether an idempotent stream has had no part within its
// timeout.
func (r *run) markStalled(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.dispatch.Stream || !r.dispatch.Idempotent || r.stalled || r.startedAt.IsZero() || r.abandoned || r.buffer.Ended() || r.windowFull() {
		return false
	}
	since, timeout := r.startedAt, firstPartTimeout
	if r.sent > 0 {
		since, timeout = r.lastPart, nextPartTimeout
	}
	r.stalled = now.Sub(since) > timeout
	return r.stalled
}

// markStarted records when the run was sent to the upstream.
func (r *run) markStarted(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.startedAt = now
}

func (r *run) isStalled() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stalled
}
