package gate

import (
	"math"
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

type instanceLoad struct {
	inFlight int
	// reported is the last load reported by the instance, including inFlightAtReport requests of
	// this entry.
	reported         float64
	inFlightAtReport int
	reportedAt       time.Time
	// failures is the failure score at failedAt. It decays with failureHalfLife.
	failures float64
	failedAt time.Time
	// consecutiveLosses counts the requests lost since the instance last began an answer;
	// lastLossAt is when the last of them was lost.
	consecutiveLosses int
	lastLossAt        time.Time
	// addressReused is set once another instance has answered at this address.
	addressReused bool
	// lastInvalid is the error of the last answer with invalid headers, empty if none.
	lastInvalid string
	// waiting holds the send times of requests without a first byte, oldest first.
	waiting []time.Time
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

// estimate is an entry's view of an instance: its load, its failure score, and whether it is
// failing.
type estimate struct {
	load     float64
	failures float64
	failing  bool
}

// isBarred reports whether the instance is picked only if there is no other.
func (e estimate) isBarred() bool {
	return e.failures > barThreshold || e.failing
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

// isBarred reports whether an instance is picked only if there is no other.
func (t *loadTracker) isBarred(start core.Start, now time.Time) bool {
	return t.estimates([]core.Start{start}, now)[0].isBarred()
}

// reportWeight returns the weight of the last reported load, from 0 (none) to 1 (just reported).
func (ld *instanceLoad) reportWeight(now time.Time) float64 {
	if ld.reportedAt.IsZero() {
		return 0
	}
	return math.Exp2(-now.Sub(ld.reportedAt).Seconds() / loadHalfLife.Seconds())
}

// othersLoad returns the load from other entries as of the last report.
func (ld *instanceLoad) othersLoad() float64 {
	return max(0, ld.reported-float64(ld.inFlightAtReport))
}

// isFailing reports whether an instance should get no request: it lost all of its recent ones, and
// either the last loss is within failingCooldown or a test request is in flight. The failure score
// doesn't distinguish two losses of two requests from two of a hundred.
func (ld *instanceLoad) isFailing(now time.Time) bool {
	return ld.consecutiveLosses >= failingThreshold && (now.Sub(ld.lastLossAt) < failingCooldown || ld.inFlight > 0)
}

func (ld *instanceLoad) decayedFailures(now time.Time) float64 {
	return ld.failures * math.Exp2(-now.Sub(ld.failedAt).Seconds()/failureHalfLife.Seconds())
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
