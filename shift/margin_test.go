package shift

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// armingPattern describes how long the ranks of a group take to be armed.
type armingPattern struct {
	name string
	// usual is the time that all ranks take, with a jitter of a quarter; one switch in lateEvery
	// takes late instead.
	usual     time.Duration
	late      time.Duration
	lateEvery int
	stepTime  time.Duration
	// maxStall is the allowed stall of the group at the 99th percentile of holds.
	maxStall time.Duration
}

// simulate switches a group repeatedly with holds at the distance given by Margin, or at a fixed
// distance if fixed is not zero. It returns how long each hold stalled the group, and how long
// before the held step all ranks were armed.
func (a armingPattern) simulate(switches int, fixed int64) (stalls, waits []time.Duration) {
	random := rand.New(rand.NewPCG(7, 7))
	m := &Margin{}
	now := time.Unix(0, 0)
	step := int64(0)
	for i := range switches {
		for range 8 {
			now = now.Add(a.stepTime)
			step++
			m.ObserveStep(now, step)
		}
		took := a.usual + time.Duration(random.Int64N(int64(a.usual)/4))
		if random.IntN(a.lateEvery) == 0 {
			took = a.late
		}
		ahead := fixed
		if ahead == 0 {
			ahead = m.Ahead(now)
		}
		// The order arrives at a random time within a step.
		left := time.Duration(ahead)*a.stepTime - time.Duration(random.Int64N(int64(a.stepTime)))
		if i >= switches/2 {
			stalls = append(stalls, max(0, took-left))
			waits = append(waits, max(0, left-took))
		}
		m.ObserveSwitch(now, took)
	}
	slices.Sort(stalls)
	slices.Sort(waits)
	return stalls, waits
}

func quantile(sorted []time.Duration, part float64) time.Duration {
	return sorted[int(part*float64(len(sorted)-1))]
}

// TestHoldsDoNotStallTheGroup covers switches in groups of up to 64 ranks with steps of about 80
// ms. A pause of 150 ms makes every stream late, so a hold may take 5 ms in the median and 20 ms in
// 99 of 100 cases. A switch may wait at most two steps beyond that: popularity shifts every few
// seconds, and each step on the old map costs balance.
func TestHoldsDoNotStallTheGroup(t *testing.T) {
	const (
		switches       = 4000
		maxMedianStall = 5 * time.Millisecond
		maxUsualStall  = 20 * time.Millisecond
		waitSteps      = 2
	)
	tests := []armingPattern{
		{"ranks of a small group", 35 * time.Millisecond, 45 * time.Millisecond, 20, 60 * time.Millisecond, maxUsualStall},
		{"64 ranks over a small link", 70 * time.Millisecond, 90 * time.Millisecond, 20, 80 * time.Millisecond, maxUsualStall},
		{"short steps", 60 * time.Millisecond, 80 * time.Millisecond, 20, 30 * time.Millisecond, maxUsualStall},
		// The margin does not cover rare delays every time, so a hold may last as long as late
		// orders exceed a step.
		{"one switch in twenty late", 50 * time.Millisecond, 200 * time.Millisecond, 20, 80 * time.Millisecond, 120 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			stalls, waits := tt.simulate(switches, 0)
			near, _ := tt.simulate(switches, MinAhead)
			if got := quantile(stalls, 0.5); got > maxMedianStall {
				t.Errorf("median stall of the group is %v, want at most %v", got, maxMedianStall)
			}
			if got := quantile(stalls, 0.99); got > tt.maxStall {
				t.Errorf("99th percentile stall of the group is %v, want at most %v", got, tt.maxStall)
			}
			if got := quantile(waits, 0.5); got > waitSteps*tt.stepTime+tt.late {
				t.Errorf("median wait of switches is %v", got)
			}
			if quantile(near, 0.5) == 0 {
				t.Error("holds on the next step do not stall the group either, so the pattern tests nothing")
			}
		})
	}
}

func TestMarginAhead(t *testing.T) {
	now := time.Unix(0, 0)
	m := &Margin{}
	if got := m.Ahead(now); got != MinAheadLossy {
		t.Errorf("%d steps ahead without samples, want %d", got, MinAheadLossy)
	}
	for i := range int64(50) {
		m.ObserveStep(now.Add(time.Duration(i)*80*time.Millisecond), i)
	}
	tests := []struct {
		name  string
		spans []time.Duration
		want  int64
	}{
		{"armed within a step", []time.Duration{40 * time.Millisecond}, 2},
		{"armed within three", []time.Duration{200 * time.Millisecond}, 4},
		{"one late switch counts for a while", []time.Duration{40 * time.Millisecond}, 4},
		{"orders that got no answer", []time.Duration{3 * time.Second}, MaxAhead},
		{"forgotten", slices.Repeat([]time.Duration{40 * time.Millisecond}, maxSamples), 2},
	}
	for _, tt := range tests {
		for _, s := range tt.spans {
			m.ObserveSwitch(now, s)
		}
		if got := m.Ahead(now); got != tt.want {
			t.Errorf("%s: %d steps ahead, want %d", tt.name, got, tt.want)
		}
	}
}

// TestMarginIgnoresIdleTimesAndNewEpochs lets a group idle for ten seconds and then re-form with
// its steps counted from the beginning.
func TestMarginIgnoresIdleTimesAndNewEpochs(t *testing.T) {
	now := time.Unix(0, 0)
	m := &Margin{}
	m.ObserveSwitch(now, 100*time.Millisecond)
	step := int64(0)
	run := func(steps int) {
		for range steps {
			now = now.Add(80 * time.Millisecond)
			step++
			m.ObserveStep(now, step)
		}
	}
	run(50)
	want := m.Ahead(now)
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		m.ObserveStep(now, step)
	}
	run(50)
	step = 0
	run(50)
	if got := m.Ahead(now); got != want {
		t.Errorf("%d steps ahead after an idle time and a new epoch, want %d as before", got, want)
	}
}

// TestMarginRecoversFromLostOrders guards against holds that stay too far ahead after orders were
// lost: each step too many is one more step on a map that does not fit. Losses are expected for as
// long as the agents expect them, five seconds.
func TestMarginRecoversFromLostOrders(t *testing.T) {
	const (
		step   = 80 * time.Millisecond
		usual  = 40 * time.Millisecond
		lossy  = 250 * time.Millisecond
		expect = 5 * time.Second
	)
	tests := []struct {
		name  string
		every time.Duration
	}{
		{"two switches a second", 500 * time.Millisecond},
		{"a switch a second", time.Second},
		{"a switch every 1.2 seconds", 1200 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now := time.Unix(0, 0)
			m := &Margin{}
			begun := int64(0)
			run := func(took, lasts time.Duration) {
				for end := now.Add(lasts); now.Before(end); {
					for next := now.Add(tt.every); now.Before(next); now = now.Add(step) {
						begun++
						m.ObserveStep(now, begun)
					}
					m.ObserveSwitch(now, took)
				}
			}
			run(lossy, 10*time.Second)
			if got := m.Ahead(now); got < 4 {
				t.Errorf("%d steps ahead while orders are lost, want at least 4", got)
			}
			run(usual, expect)
			if got := m.Ahead(now.Add(step)); got != 2 {
				t.Errorf("%d steps ahead %v after orders were lost, want 2", got, expect)
			}
		})
	}
}
