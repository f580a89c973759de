package gate

import (
	"slices"
	"sync"
	"time"

	"geraniumpass/core"
)

const (
	// loadHalfLife is the half-life of the weight of a reported load, about the duration of a
	// stream.
	loadHalfLife = time.Second
	// failureHalfLife is the half-life of an instance's failure score.
	failureHalfLife = 3 * time.Second
	// failurePenalty is the load penalty per failure, as a fraction of the instance's slots.
	failurePenalty = 0.5
	// maxSilence is how long an instance may stay silent while others of its service answer before
	// it is barred.
	maxSilence = 700 * time.Millisecond
	// barThreshold is the failure score, about three concurrent failures, above which an instance
	// is barred, that is, picked only if there is no other.
	barThreshold = 2.5
	// failingThreshold is the number of consecutive lost requests, with no answer begun, that makes
	// an instance count as failing.
	failingThreshold = 2
	// failingCooldown is how long a failing instance is barred before a single request tests it.
	failingCooldown = 3 * time.Second
)

// loadTracker holds this entry's observations of the load and the failures of each incarnation of an
// instance. Observations of an earlier incarnation don't apply to a later one.
type loadTracker struct {
	mu      sync.Mutex
	byStart map[core.Start]*instanceLoad
}

func newLoadTracker() *loadTracker {
	return &loadTracker{byStart: make(map[core.Start]*instanceLoad)}
}

func (t *loadTracker) get(start core.Start) *instanceLoad {
	ld := t.byStart[start]
	if ld == nil {
		ld = &instanceLoad{}
		t.byStart[start] = ld
	}
	return ld
}

// begin increments the number of this entry's in-flight requests; end decrements it.
func (t *loadTracker) begin(start core.Start) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.get(start).inFlight++
}

// recordBegin records when a request was begun, for begunSince.
func (t *loadTracker) recordBegin(start core.Start, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	ld := t.get(start)
	for len(ld.begun) > 0 && now.Sub(ld.begun[0]) > maxLoadAge {
		ld.begun = ld.begun[1:]
	}
	ld.begun = append(ld.begun, now)
}

// begunSince returns the number of requests begun after t, which must be at most maxLoadAge ago.
func (t *loadTracker) begunSince(start core.Start, after time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	ld, ok := t.byStart[start]
	if !ok {
		return 0
	}
	n := 0
	for _, at := range ld.begun {
		if at.After(after) {
			n++
		}
	}
	return n
}

func (t *loadTracker) end(start core.Start) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.get(start).inFlight--
}

// addWaiting records the send time of a request that waits for its first byte; removeWaiting
// removes it.
func (t *loadTracker) addWaiting(start core.Start, sent time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	ld := t.get(start)
	ld.waiting = append(ld.waiting, sent)
}

func (t *loadTracker) removeWaiting(start core.Start, sent time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	ld := t.get(start)
	if i := slices.Index(ld.waiting, sent); i >= 0 {
		ld.waiting = slices.Delete(ld.waiting, i, i+1)
	}
}

// silentFor returns how long the oldest request without a first byte has been waiting.
func (t *loadTracker) silentFor(start core.Start, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	ld, ok := t.byStart[start]
	if !ok || len(ld.waiting) == 0 {
		return 0
	}
	return now.Sub(ld.waiting[0])
}

// recordReport records the load that an instance reported.
func (t *loadTracker) recordReport(start core.Start, running, waiting int, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	ld := t.get(start)
	ld.reported = float64(running + waiting)
	ld.inFlightAtReport = ld.inFlight
	ld.reportedAt = now
}

// recordFailure adds weight to the failure score of an instance. The weight reflects how likely it
// is that the instance and not the request is the cause.
func (t *loadTracker) recordFailure(start core.Start, weight float64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	ld := t.get(start)
	ld.failures = ld.decayedFailures(now) + weight
	ld.failedAt = now
}

// recordLoss records that an instance accepted a request, or was dialed for one, and gave no
// answer. It reports whether the instance just became failing.
func (t *loadTracker) recordLoss(start core.Start, now time.Time) bool {
	t.recordFailure(start, lostWeight, now)
	t.mu.Lock()
	defer t.mu.Unlock()
	ld := t.get(start)
	ld.consecutiveLosses++
	ld.lastLossAt = now
	return ld.consecutiveLosses == failingThreshold
}

// recordAnswer records that an instance began a verified answer. It reports whether the instance
// counted as failing before.
func (t *loadTracker) recordAnswer(start core.Start) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	ld := t.get(start)
	wasFailing := ld.consecutiveLosses >= failingThreshold
	ld.consecutiveLosses = 0
	return wasFailing
}

// recordSuccess halves the failure score of an instance that gave a complete answer.
func (t *loadTracker) recordSuccess(start core.Start, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	ld := t.get(start)
	if ld.failures > 0 {
		ld.failures = ld.decayedFailures(now) / 2
		ld.failedAt = now
	}
}

// estimates returns the estimate of each instance. The load from other entries is interpolated
// between the instance's last report and the mean over all instances, by the age of the report. An
// instance without a recent report, for example one with a long queue, thus doesn't appear less
// loaded than the others.
func (t *loadTracker) estimates(starts []core.Start, now time.Time) []estimate {
	t.mu.Lock()
	defer t.mu.Unlock()
	weighted, weight := 0.0, 0.0
	for _, start := range starts {
		if ld, ok := t.byStart[start]; ok {
			weighted += ld.reportWeight(now) * ld.othersLoad()
			weight += ld.reportWeight(now)
		}
	}
	mean := 0.0
	if weight > 0 {
		mean = weighted / weight
	}
	out := make([]estimate, len(starts))
	for i, start := range starts {
		ld, ok := t.byStart[start]
		if !ok {
			out[i].load = mean
			continue
		}
		w := ld.reportWeight(now)
		out[i] = estimate{
			load:     float64(ld.inFlight) + w*ld.othersLoad() + (1-w)*mean,
			failures: ld.decayedFailures(now),
			failing:  ld.isFailing(now),
		}
	}
	return out
}

// failuresOf returns the estimate of an instance without its load.
func (t *loadTracker) failuresOf(start core.Start, now time.Time) estimate {
	t.mu.Lock()
	defer t.mu.Unlock()
	ld, ok := t.byStart[start]
	if !ok {
		return estimate{}
	}
	return estimate{
		failures: ld.decayedFailures(now),
		failing:  ld.isFailing(now),
	}
}

// isBarred reports whether an instance is picked only if there is no other.
func (t *loadTracker) isBarred(start core.Start, now time.Time) bool {
	return t.failuresOf(start, now).isBarred()
}

// recordInvalid records the error of an answer with invalid headers and reports whether it differs
// from the last one.
func (t *loadTracker) recordInvalid(start core.Start, err error) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	ld := t.get(start)
	isNew := ld.lastInvalid != err.Error()
	ld.lastInvalid = err.Error()
	return isNew
}

// markAddressReused records that another instance answers at this instance's address.
func (t *loadTracker) markAddressReused(start core.Start) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.get(start).addressReused = true
}

// isAddressReused reports whether another instance has answered at this instance's address.
func (t *loadTracker) isAddressReused(start core.Start) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	ld, ok := t.byStart[start]
	return ok && ld.addressReused
}

// evict drops idle incarnations for which keep returns false.
func (t *loadTracker) evict(keep func(start core.Start) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for start, ld := range t.byStart {
		if ld.inFlight == 0 && !keep(start) {
			delete(t.byStart, start)
		}
	}
}
