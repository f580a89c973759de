package agent

import "time"

const (
	// firstPatience and nextPatience are how long a stream may go without its first and its next part.
	firstPatience = 10 * time.Second
	nextPatience  = 4 * time.Second
)

// loseStalled ends the streams on which the upstream has stopped, so that they go on elsewhere, and returns how many
// attempts still wait for it.
func (a *Agent) loseStalled() int64 {
	now := a.clock.Now()
	a.runs.each(func(r *run) {
		if !r.stalls(now) {
			return
		}
		a.stuck.Add(1)
		a.log.Warn("upstream has stopped in a stream", "request", r.dispatch.Request)
		r.append(lostPart(), a.sessions, now)
		r.giveUp()
		a.upstream.Cancel(r.dispatch.Request)
	})
	return a.stuck.Load()
}

// stalls returns true once, when a stream that may be repeated has had no part for longer than the patience.
func (r *run) stalls(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.dispatch.Stream || !r.dispatch.Idempotent || r.stuck || r.startedAt.IsZero() || r.abandoned || r.buffer.Ended() || r.full() {
		return false
	}
	since, patience := r.startedAt, firstPatience
	if r.sent > 0 {
		since, patience = r.lastPart, nextPatience
	}
	r.stuck = now.Sub(since) > patience
	return r.stuck
}

// start notes when the run was put to the upstream.
func (r *run) start(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.startedAt = now
}

func (r *run) wasStuck() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stuck
}
