package place

import "math"

// Tally gathers counts that only rise into what was added since it was last told.
type Tally struct {
	last  []int64
	added []float64
	told  []float64
}

// Add takes the newest counts; counts that have fallen are of an engine that started anew. It returns true when popularity has turned:
// what was added before is then dropped, because it would hide what counts now.
func (t *Tally) Add(counts []int64) (turned bool) {
	last := t.last
	t.last = counts
	if len(last) != len(counts) {
		t.added = make([]float64, len(counts))
		t.told = nil
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
		before = t.told
	}
	if turned = distance(before, now) > turnChange; turned {
		clear(t.added)
	}
	for i, n := range now {
		t.added[i] += n
	}
	return turned
}

// Take returns the additions as bytes and the unit that they are counted in, nothing where there are none.
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
	t.told = t.added
	t.added = make([]float64, len(t.told))
	return out, unit
}
