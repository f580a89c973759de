package admit

import (
	"math/rand/v2"
	"testing"
	"time"
)

// offer decides one request of each rank every ten milliseconds while a group runs the given number of
// requests, with steps as step returns for each such tick. It returns the admitted share of each from the
// tick settled on.
func offer(s *Shedder, now *time.Time, ranks []int, running, ticks, settled int, step func(i int) time.Duration) []float64 {
	offered, admitted := make([]float64, len(ranks)), make([]float64, len(ranks))
	for i := range ticks {
		*now = now.Add(10 * time.Millisecond)
		groups := []Group{{Name: "a", Usable: true, Ranks: 32, Running: running, StepTime: step(i)}}
		s.Observe(*now, testEngine(), groups)
		for k, rank := range ranks {
			d := s.Decide(*now, testEngine(), groups, demand(rank, "a"))
			s.room.inflow, s.room.inflowShare = 200, 1
			if i < settled {
				continue
			}
			offered[k]++
			if d.Admit {
				admitted[k]++
			}
		}
	}
	for k := range admitted {
		admitted[k] /= offered[k]
	}
	return admitted
}

func checkShares(t *testing.T, name string, got, least, most []float64) {
	t.Helper()
	for k := range got {
		if got[k] < least[k] || got[k] > most[k] {
			t.Errorf("%s: kind %d admitted %.3f, want %.2f to %.2f", name, k, got[k], least[k], most[k])
		}
	}
}

// Load: every 2.4 s the steps take 125 ms for 0.6 s, where callers accept 120, because other experts are
// in demand; between, they take 75 ms. Callers of the most urgent class need each pause in time, so that
// those of the other one are refused until the steps are short enough; half as often as the whole they
// are admitted. Where all are equally urgent, nobody is refused: there is nobody to make room for.
func TestLessUrgentLeaveRoomForLongSteps(t *testing.T) {
	tests := []struct {
		name  string
		ranks []int
		least []float64
		most  []float64
	}{
		{"two ranks", []int{0, 1}, []float64{0.99, 0.4}, []float64{1, 0.98}},
		{"one rank", []int{1, 1}, []float64{1, 1}, []float64{1, 1}},
	}
	for _, tt := range tests {
		now := time.Unix(1_000_000, 0)
		got := offer(New(rand.New(rand.NewPCG(1, 1)).Float64), &now, tt.ranks, 220, 3000, 1000, func(i int) time.Duration {
			if i%240 < 60 {
				return 125 * time.Millisecond
			}
			return 75 * time.Millisecond
		})
		checkShares(t, tt.name, got, tt.least, tt.most)
	}
}

// Load: steps of 75 ms, then a surge with steps of 130 ms, where callers accept 120. In calm nobody is
// refused, however much the terms of the engine let expect; in the surge those of the lower rank are, half
// as often as the whole at most, and those that others don't go before never are: a pause that is a little
// too long is better than no answer.
func TestRankedShedderRefusesOnlyForTheSakeOfOthers(t *testing.T) {
	s := NewRanked(rand.New(rand.NewPCG(1, 1)).Float64)
	now := time.Unix(1_000_000, 0)
	phases := []struct {
		name  string
		step  time.Duration
		least []float64
		most  []float64
	}{
		{"calm", 75 * time.Millisecond, []float64{1, 1}, []float64{1, 1}},
		{"surge", 130 * time.Millisecond, []float64{1, 0.4}, []float64{1, 0.8}},
		{"calm again", 75 * time.Millisecond, []float64{1, 1}, []float64{1, 1}},
	}
	for _, p := range phases {
		got := offer(s, &now, []int{0, 1}, 270, 1200, 500, func(int) time.Duration { return p.step })
		checkShares(t, p.name, got, p.least, p.most)
	}
}
