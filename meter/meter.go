package meter

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jonboulle/clockwork"
)

// Result is how a request ended.
type Result string

// The results of a request.
const (
	ResultWhole   Result = "whole"
	ResultNotRun  Result = "not_run"
	ResultUnknown Result = "unknown"
	ResultGone    Result = "caller_gone"
)

// Sample is one ended request.
type Sample struct {
	Class  string
	Domain string
	Result Result
	Took   time.Duration
	OnTime bool
}

const (
	lowestMicros  = 10
	highestMicros = 600_000_000
	digits        = 2
	// windowSlots and slotTime make the sliding minute over which a target counts as met or missed.
	windowSlots = 6
	slotTime    = 10 * time.Second
)

// Meter is safe for use by several goroutines; each class and domain has its own lock.
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
	at     int64
	onTime int64
	all    int64
}

// New returns an empty meter.
func New(clock clockwork.Clock) *Meter {
	return &Meter{
		clock:  clock,
		series: make(map[seriesKey]*series),
	}
}

// Observe counts one ended request.
func (m *Meter) Observe(s Sample) {
	at := m.clock.Now().UnixNano() / int64(slotTime)
	se := m.get(seriesKey{
		class:  s.Class,
		domain: s.Domain,
	})
	se.mu.Lock()
	defer se.mu.Unlock()
	se.counts[s.Result]++
	sl := &se.slots[at%windowSlots]
	if sl.at != at {
		*sl = slot{at: at}
	}
	sl.all++
	if s.OnTime {
		sl.onTime++
	}
	if s.Result == ResultWhole {
		_ = se.hist.RecordValue(min(max(s.Took.Microseconds(), lowestMicros), highestMicros))
	}
}

func (m *Meter) get(k seriesKey) *series {
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
		hist:   hdrhistogram.New(lowestMicros, highestMicros, digits),
	}
	m.series[k] = se
	return se
}

// Row is what was counted for one class in one failure domain; the share is over the last minute.
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

// Rows returns all that was counted.
func (m *Meter) Rows() []Row {
	now := m.clock.Now().UnixNano() / int64(slotTime)
	m.mu.RLock()
	defer m.mu.RUnlock()
	out := make([]Row, 0, len(m.series))
	for k, se := range m.series {
		out = append(out, se.row(k, now))
	}
	return out
}

func (s *series) row(k seriesKey, now int64) Row {
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
		if now-sl.at < windowSlots {
			r.Recent += sl.all
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
