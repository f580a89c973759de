package shift

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// arming is a pattern of how long the ranks of a group take to be armed.
type arming struct {
	name string
	// usual is how long all ranks take, with a jitter of a quarter; one in rare takes late.
	usual time.Duration
	late  time.Duration
	rare  int
	step  time.Duration
	// may is how long one hold in a hundred may stop the group.
	may time.Duration
}

// play switches a group over and over with holds as far ahead as the margin says, or, with fixed, always so far. It returns how long each
// hold stopped the group and how long the step that was held began after all ranks were armed.
func (a arming) play(switches int, fixed int64) (stalls, waits []time.Duration) {
	random := rand.New(rand.NewPCG(7, 7))
	m := &Margin{}
	now := time.Unix(0, 0)
	step := int64(0)
	for i := range switches {
		for range 8 {
			now = now.Add(a.step)
			step++
			m.Stepped(now, step)
		}
		took := a.usual + time.Duration(random.Int64N(int64(a.usual)/4))
		if random.IntN(a.rare) == 0 {
			took = a.late
		}
		ahead := fixed
		if ahead == 0 {
			ahead = m.Ahead(now)
		}
		// The order finds the group anywhere within a step.
		left := time.Duration(ahead)*a.step - time.Duration(random.Int64N(int64(a.step)))
		if i >= switches/2 {
			stalls = append(stalls, max(0, took-left))
			waits = append(waits, max(0, left-took))
		}
		m.Switched(now, took)
	}
	slices.Sort(stalls)
	slices.Sort(waits)
	return stalls, waits
}

func quantile(sorted []time.Duration, part float64) time.Duration {
	return sorted[int(part*float64(len(sorted)-1))]
}

// TestHoldsThatStopNobody stands for switches in a group of 64 ranks whose steps take 80 ms: a pause of 150 ms is late for every stream, so that a
// hold may take 5 ms in the median and 20 ms in 99 of 100. A switch may not wait for more than two steps beyond that: popularity
// turns every few seconds, and each step on the old map costs balance.
func TestHoldsThatStopNobody(t *testing.T) {
	const (
		switches  = 4000
		medianMay = 5 * time.Millisecond
		calmMay   = 20 * time.Millisecond
		waitSteps = 2
	)
	tests := []arming{
		{"ranks of a small group", 35 * time.Millisecond, 45 * time.Millisecond, 20, 60 * time.Millisecond, calmMay},
		{"64 ranks over a small link", 70 * time.Millisecond, 90 * time.Millisecond, 20, 80 * time.Millisecond, calmMay},
		{"short steps", 60 * time.Millisecond, 80 * time.Millisecond, 20, 30 * time.Millisecond, calmMay},
		// What comes rarely is not waited for every time: then a hold may last as long as orders that come late take beyond a step.
		{"one switch in twenty late", 50 * time.Millisecond, 200 * time.Millisecond, 20, 80 * time.Millisecond, 120 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			stalls, waits := tt.play(switches, 0)
			near, _ := tt.play(switches, Ahead)
			if got := quantile(stalls, 0.5); got > medianMay {
				t.Errorf("half of the holds stop the group for %v or more, may %v", got, medianMay)
			}
			if got := quantile(stalls, 0.99); got > tt.may {
				t.Errorf("one hold in a hundred stops the group for %v or more, may %v", got, tt.may)
			}
			if got := quantile(waits, 0.5); got > waitSteps*tt.step+tt.late {
				t.Errorf("half of the switches wait for %v or more", got)
			}
			if quantile(near, 0.5) == 0 {
				t.Error("a hold on the next step stops nobody either: the pattern shows nothing")
			}
		})
	}
}

func TestMarginFollowsWhatItSees(t *testing.T) {
	now := time.Unix(0, 0)
	m := &Margin{}
	if got := m.Ahead(now); got != AheadLossy {
		t.Errorf("%d steps ahead before anything was seen, want %d", got, AheadLossy)
	}
	for i := range int64(50) {
		m.Stepped(now.Add(time.Duration(i)*80*time.Millisecond), i)
	}
	tests := []struct {
		name  string
		spans []time.Duration
		want  int64
	}{
		{"armed within a step", []time.Duration{40 * time.Millisecond}, 2},
		{"armed within three", []time.Duration{200 * time.Millisecond}, 4},
		{"one late switch counts for a while", []time.Duration{40 * time.Millisecond}, 4},
		{"orders that got no answer", []time.Duration{3 * time.Second}, AheadMost},
		{"forgotten", slices.Repeat([]time.Duration{40 * time.Millisecond}, spansKept), 2},
	}
	for _, tt := range tests {
		for _, s := range tt.spans {
			m.Switched(now, s)
		}
		if got := m.Ahead(now); got != tt.want {
			t.Errorf("%s: %d steps ahead, want %d", tt.name, got, tt.want)
		}
	}
}

// TestMarginPassesOverIdleTimesAndNewEpochs has a group rest for ten seconds, and then form anew with its steps counted from the beginning.
func TestMarginPassesOverIdleTimesAndNewEpochs(t *testing.T) {
	now := time.Unix(0, 0)
	m := &Margin{}
	m.Switched(now, 100*time.Millisecond)
	step := int64(0)
	play := func(steps int) {
		for range steps {
			now = now.Add(80 * time.Millisecond)
			step++
			m.Stepped(now, step)
		}
	}
	play(50)
	want := m.Ahead(now)
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		m.Stepped(now, step)
	}
	play(50)
	step = 0
	play(50)
	if got := m.Ahead(now); got != want {
		t.Errorf("%d steps ahead after a rest and a new epoch, want %d as before", got, want)
	}
}

// TestMarginForgetsLostOrders guards against switches that go on as if orders were still lost: each step that a hold lies too far ahead is one
// more on a map that doesn't fit. Lost orders are expected for as long as the agents expect them, five seconds.
func TestMarginForgetsLostOrders(t *testing.T) {
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
			play := func(took, lasts time.Duration) {
				for end := now.Add(lasts); now.Before(end); {
					for next := now.Add(tt.every); now.Before(next); now = now.Add(step) {
						begun++
						m.Stepped(now, begun)
					}
					m.Switched(now, took)
				}
			}
			play(lossy, 10*time.Second)
			if got := m.Ahead(now); got < 4 {
				t.Errorf("%d steps ahead while orders are lost, want 4 at least", got)
			}
			play(usual, expect)
			if got := m.Ahead(now.Add(step)); got != 2 {
				t.Errorf("%d steps ahead %v after orders were lost, want 2", got, expect)
			}
		})
	}
}
