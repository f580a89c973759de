package meter

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jonboulle/clockwork"
)

// Result is the outcome of a request.
type Result string

// The results of a request.
const (
	ResultComplete    Result = "whole"
	ResultNotExecuted Result = "not_run"
	ResultUnknown     Result = "unknown"
	ResultCallerGone  Result = "caller_gone"
)

// Sample describes one finished request.
type Sample struct {
	Class  string
	Domain string
	Result Result
	Took   time.Duration
	OnTime bool
}

const (
	lowestMicros      = 10
	highestMicros     = 600_000_000
	significantDigits = 2
	// windowSlots and slotDuration define the one-minute sliding window over which the share of
	// requests on time is calculated.
	windowSlots  = 6
	slotDuration = 10 * time.Second
)

// Meter counts requests. It is safe for concurrent use; each class and domain has its own lock.
type Meter struct {
	clock clockwork.Clock

	mu     sync.RWMutex
	series map[seriesKey]*series
}

type seriesKey struct {
	class  string
	domain string
}

type series struct {
	mu     sync.Mutex
	counts map[Result]int64
	hist   *hdrhistogram.Histogram
	slots  [windowSlots]slot
}

type slot struct {
	index  int64
	onTime int64
	total  int64
}

// New returns an empty Meter.
func New(clock clockwork.Clock) *Meter {
	return &Meter{
		clock:  clock,
		series: make(map[seriesKey]*series),
	}
}

// Observe records one finished request.
func (m *Meter) Observe(s Sample) {
	index := m.clock.Now().UnixNano() / int64(slotDuration)
	se := m.seriesFor(seriesKey{
		class:  s.Class,
		domain: s.Domain,
	})
	se.mu.Lock()
	defer se.mu.Unlock()
	se.counts[s.Result]++
	sl := &se.slots[index%windowSlots]
	if sl.index != index {
		*sl = slot{index: index}
	}
	sl.total++
	if s.OnTime {
		sl.onTime++
	}
	if s.Result == ResultComplete {
		_ = se.hist.RecordValue(min(max(s.Took.Microseconds(), lowestMicros), highestMicros))
	}
}

func (m *Meter) seriesFor(k seriesKey) *series {
	m.mu.RLock()
	se, ok := m.series[k]
	m.mu.RUnlock()
	if ok {
		return se
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if se, ok = m.series[k]; ok {
		return se
	}
	se = &series{
		counts: make(map[Result]int64),
		hist:   hdrhistogram.New(lowestMicros, highestMicros, significantDigits),
	}
	m.series[k] = se
	return se
}

// Row holds the counts and latencies of one class in one failure domain. Recent and OnTimeShare
// cover the last minute.
type Row struct {
	Class       string           `json:"class"`
	Domain      string           `json:"domain"`
	Counts      map[Result]int64 `json:"counts"`
	P50         time.Duration    `json:"p50"`
	P95         time.Duration    `json:"p95"`
	P99         time.Duration    `json:"p99"`
	Recent      int64            `json:"recent"`
	OnTimeShare float64          `json:"on_time_share"`
}

// Rows returns one row per class and failure domain.
func (m *Meter) Rows() []Row {
	current := m.clock.Now().UnixNano() / int64(slotDuration)
	m.mu.RLock()
	defer m.mu.RUnlock()
	out := make([]Row, 0, len(m.series))
	for k, se := range m.series {
		out = append(out, se.row(k, current))
	}
	return out
}

func (s *series) row(k seriesKey, current int64) Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := Row{
		Class:  k.class,
		Domain: k.domain,
		Counts: make(map[Result]int64, len(s.counts)),
		P50:    micros(s.hist.ValueAtQuantile(50)),
		P95:    micros(s.hist.ValueAtQuantile(95)),
		P99:    micros(s.hist.ValueAtQuantile(99)),
	}
	for res, n := range s.counts {
		r.Counts[res] = n
	}
	onTime := int64(0)
	for _, sl := range s.slots {
		if current-sl.index < windowSlots {
			r.Recent += sl.total
			onTime += sl.onTime
		}
	}
	if r.Recent > 0 {
		r.OnTimeShare = float64(onTime) / float64(r.Recent)
	}
	return r
}

func micros(n int64) time.Duration {
	return time.Duration(n) * time.Microsecond
}
