package gate

import (
	"math"
	"slices"
	"sync"
	"time"

	"geraniumpass/core"
)

const (
	// loadMemory is how long a load that came back with an answer is believed: about as long as a stream runs.
	loadMemory = time.Second
	// failureHalfLife is the time in which a failure seen at an instance is half forgotten.
	failureHalfLife = 3 * time.Second
	// failurePenalty is what one failure weighs, as a share of an instance's slots.
	failurePenalty = 0.5
	// silentAfter is how long an instance may stay silent, while others of its service answer, before it gets no more requests.
	silentAfter = 700 * time.Millisecond
	// barAfter is the weight of failures, about three at once, from which an instance is taken only when there is no other.
	barAfter = 2.5
	// failingAfter is how many requests in a row an instance has to lose, without beginning one answer, to count as failing.
	failingAfter = 2
	// proveAfter is how long a failing instance is left alone before a single request finds out whether it answers again.
	proveAfter = 3 * time.Second
)

// loads is what this entry has seen of each start of an instance: what was seen of an earlier one says nothing of the present.
type loads struct {
	mu sync.Mutex
	by map[core.Start]*load
}

type load struct {
	own int
	// reported is the load told by an instance at a moment, own requests included.
	reported    float64
	ownReported int
	at          time.Time
	// failures decays with failureHalfLife since failedAt.
	failures float64
	failedAt time.Time
	// lost is how many requests the instance has lost since it last began an answer, lostAt when it lost the last one.
	lost   int
	lostAt time.Time
	// misplaced is true once another instance has answered at its address.
	misplaced bool
	// invalid is the last statement of the instance that could not be understood, empty for none.
	invalid string
	// waiting is when each request was sent that the instance has not begun to answer, the oldest first.
	waiting []time.Time
}

func newLoads() *loads {
	return &loads{by: make(map[core.Start]*load)}
}

func (l *loads) get(start core.Start) *load {
	ld := l.by[start]
	if ld == nil {
		ld = &load{}
		l.by[start] = ld
	}
	return ld
}

// begin counts a request sent to an instance and end its end.
func (l *loads) begin(start core.Start) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.get(start).own++
}

func (l *loads) end(start core.Start) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.get(start).own--
}

// waits notes that a request was sent at a time and waits for its answer, waited that it does no more.
func (l *loads) waits(start core.Start, sent time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	ld := l.get(start)
	ld.waiting = append(ld.waiting, sent)
}

func (l *loads) waited(start core.Start, sent time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	ld := l.get(start)
	if i := slices.Index(ld.waiting, sent); i >= 0 {
		ld.waiting = slices.Delete(ld.waiting, i, i+1)
	}
}

// silent returns how long the oldest request waits that an instance has not begun to answer.
func (l *loads) silent(start core.Start, now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	ld, ok := l.by[start]
	if !ok || len(ld.waiting) == 0 {
		return 0
	}
	return now.Sub(ld.waiting[0])
}

// report takes the load that an instance told.
func (l *loads) report(start core.Start, running, waiting int, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	ld := l.get(start)
	ld.reported = float64(running + waiting)
	ld.ownReported = ld.own
	ld.at = now
}

// failed notes a failure of an instance, weighed by how sure it is that the instance and not the request is the cause.
func (l *loads) failed(start core.Start, weight float64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	ld := l.get(start)
	ld.failures = ld.decayed(now) + weight
	ld.failedAt = now
}

// lost notes that an instance took a request, or the connection for one, and gave no answer; it returns true when the instance counts as failing
// from now on.
func (l *loads) lost(start core.Start, now time.Time) bool {
	l.failed(start, lostWeight, now)
	l.mu.Lock()
	defer l.mu.Unlock()
	ld := l.get(start)
	ld.lost++
	ld.lostAt = now
	return ld.lost == failingAfter
}

// answers notes that an instance has begun a sound answer; it returns true when the instance counted as failing.
func (l *loads) answers(start core.Start) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	ld := l.get(start)
	wasFailing := ld.lost >= failingAfter
	ld.lost = 0
	return wasFailing
}

// worked notes a whole answer of an instance.
func (l *loads) worked(start core.Start, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	ld := l.get(start)
	if ld.failures > 0 {
		ld.failures = ld.decayed(now) / 2
		ld.failedAt = now
	}
}

// belief is what an entry believes of an instance: its load, the weight of the failures seen there, and whether it fails whatever it is given.
type belief struct {
	load     float64
	failures float64
	failing  bool
}

// isBarred returns true when an instance is taken only while there is no other.
func (b belief) isBarred() bool {
	return b.failures > barAfter || b.failing
}

// beliefs returns what is believed of each of the instances. The load that others put on one is taken from its last word as far as that is
// believed, and from the mean over all of them for the rest: an instance that has not been heard of for a while, as one whose queue is long,
// is no emptier than the others.
func (l *loads) beliefs(starts []core.Start, now time.Time) []belief {
	l.mu.Lock()
	defer l.mu.Unlock()
	trusted, weight := 0.0, 0.0
	for _, start := range starts {
		if ld, ok := l.by[start]; ok {
			trusted += ld.trust(now) * ld.others()
			weight += ld.trust(now)
		}
	}
	mean := 0.0
	if weight > 0 {
		mean = trusted / weight
	}
	out := make([]belief, len(starts))
	for i, start := range starts {
		ld, ok := l.by[start]
		if !ok {
			out[i].load = mean
			continue
		}
		trust := ld.trust(now)
		out[i] = belief{
			load:     float64(ld.own) + trust*ld.others() + (1-trust)*mean,
			failures: ld.decayed(now),
			failing:  ld.isFailing(now),
		}
	}
	return out
}

// isBarred returns true when an instance is taken only while there is no other.
func (l *loads) isBarred(start core.Start, now time.Time) bool {
	return l.beliefs([]core.Start{start}, now)[0].isBarred()
}

// trust is how far the last word of an instance on its load is believed.
func (ld *load) trust(now time.Time) float64 {
	if ld.at.IsZero() {
		return 0
	}
	return math.Exp2(-now.Sub(ld.at).Seconds() / loadMemory.Seconds())
}

// others is the load that other entries had put on an instance by its last word.
func (ld *load) others() float64 {
	return max(0, ld.reported-float64(ld.ownReported))
}

// isFailing returns true for an instance that should get no request: it has lost all of its last ones, and either the last loss was a moment ago
// or a request is already finding out. The weight of failures doesn't tell two lost of two from two lost of a hundred.
func (ld *load) isFailing(now time.Time) bool {
	return ld.lost >= failingAfter && (now.Sub(ld.lostAt) < proveAfter || ld.own > 0)
}

func (ld *load) decayed(now time.Time) float64 {
	return ld.failures * math.Exp2(-now.Sub(ld.failedAt).Seconds()/failureHalfLife.Seconds())
}

// isNewInvalid notes a statement that could not be understood and returns true unless it was the last one too.
func (l *loads) isNewInvalid(start core.Start, err error) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	ld := l.get(start)
	isNew := ld.invalid != err.Error()
	ld.invalid = err.Error()
	return isNew
}

// misplaced notes that another instance answers at the address of this one.
func (l *loads) misplaced(start core.Start) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.get(start).misplaced = true
}

// isMisplaced returns whether another instance has answered at its address.
func (l *loads) isMisplaced(start core.Start) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	ld, ok := l.by[start]
	return ok && ld.misplaced
}

// forget drops what is known of instances that keep returns false for.
func (l *loads) forget(keep func(start core.Start) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for start, ld := range l.by {
		if ld.own == 0 && !keep(start) {
			delete(l.by, start)
		}
	}
}
