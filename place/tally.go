package place

import "math"

// Tally accumulates the increments of monotonic counters since the last report.
type Tally struct {
	last     []int64
	added    []float64
	reported []float64
}

// Add adds the increments since the previous counts; counts that have fallen belong to a restarted
// engine. It reports whether popularity has shifted: earlier increments are then dropped, because
// they would hide the new popularity.
func (t *Tally) Add(counts []int64) (shifted bool) {
	last := t.last
	t.last = counts
	if len(last) != len(counts) {
		t.added = make([]float64, len(counts))
		t.reported = nil
		return false
	}
	now := make([]float64, len(counts))
	for i, n := range counts {
		now[i] = float64(n - last[i])
		if n < last[i] {
			now[i] = float64(n)
		}
	}
	before := t.added
	if sumOf(before) <= 0 {
		before = t.reported
	}
	if shifted = totalVariation(before, now) > shiftDistance; shifted {
		clear(t.added)
	}
	for i, n := range now {
		t.added[i] += n
	}
	return shifted
}

// Take returns the increments as bytes and their unit, and resets them. It returns nil if there are
// none.
func (t *Tally) Take() ([]byte, float64) {
	most := 0.0
	for _, n := range t.added {
		most = max(most, n)
	}
	if most <= 0 {
		return nil, 0
	}
	unit := max(1, most/math.MaxUint8)
	out := make([]byte, len(t.added))
	for i, n := range t.added {
		out[i] = byte(math.Round(n / unit))
	}
	t.reported = t.added
	t.added = make([]float64, len(t.reported))
	return out, unit
}
