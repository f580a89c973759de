package place

import "slices"

// jointColdRanks is how many of the least loaded ranks are considered as targets of a copy.
const jointColdRanks = 8

// Budget bounds the cost of one change of a group's map.
type Budget struct {
	// PerRank is how many experts one rank may load, over all sets; a rank loads experts one after
	// another.
	PerRank int
	// PerSet is how many of them may belong to one set, or zero for no limit.
	PerSet int
	// MinGain is the least saving that justifies a copy, as a share of the mean load of one set.
	MinGain float64
}

// ImproveSets returns maps for all sets of layers that shorten a step, and the number of copies
// they take. A step takes the sum over the sets of the slowest rank's time. Copies are spent one at
// a time where the step gains most, in any set. A rank with pace p takes p times the usual time for
// its load; a nil pace means that all ranks are equally fast.
func ImproveSets(sets []*Placement, load [][]float64, pace []float64, b Budget) ([]*Placement, int) {
	j := newJointImprover(sets, load, pace, b)
	copies := 0
	for {
		a, ok := j.bestChange()
		if !ok {
			break
		}
		j.apply(a)
		copies += a.copies
	}
	out := make([]*Placement, len(j.sets))
	for s := range j.sets {
		out[s] = j.sets[s].p
	}
	return out, copies
}

// Peak returns the duration of a step's expert computation, which is the sum over the sets of the
// slowest rank's time, and its value under perfect balance.
func Peak(sets []*Placement, load [][]float64, pace []float64) (peak, mean float64) {
	for s, p := range sets {
		loads := p.Loads(load[s])
		slowest := 0.0
		for r, l := range loads {
			slowest = max(slowest, l*paceOf(pace, r))
		}
		peak += slowest
		mean += sumOf(loads) / totalSpeed(pace, p.Ranks)
	}
	return peak, mean
}

// change is an action on the map of a set: rank to receives a copy of expert, rank from drops its
// copy, and rank to drops evicted. Negative values mean none.
type change struct {
	set     int
	expert  int
	from    int
	to      int
	evicted int
	copies  int
}

// choice is the best change of a set and its saving. It is valid until the set changes or the
// budget of a rank is used up.
type choice struct {
	change change
	gain   float64
	valid  bool
}

// jointImprover applies changes to several sets under one budget.
type jointImprover struct {
	sets    []*improver
	budget  Budget
	choices []choice
	mean    float64
	// loaded counts the loaded experts by rank, loadedSet by set and rank.
	loaded    []int
	loadedSet [][]int
}

func newJointImprover(sets []*Placement, load [][]float64, pace []float64, b Budget) *jointImprover {
	j := &jointImprover{
		budget:    b,
		choices:   make([]choice, len(sets)),
		loaded:    make([]int, sets[0].Ranks),
		loadedSet: make([][]int, len(sets)),
	}
	for s, p := range sets {
		im := newImprover(p, load[s], pace)
		j.sets = append(j.sets, im)
		j.mean += im.mean
		j.loadedSet[s] = make([]int, p.Ranks)
	}
	return j
}

// minSaving returns the saving that a change must exceed. A change without copies is free and only
// has to save something.
func (j *jointImprover) minSaving(copies int) float64 {
	if copies == 0 {
		return j.mean * 1e-6
	}
	return j.mean * j.budget.MinGain / float64(len(j.sets))
}

func (j *jointImprover) canLoad(set, rank int) bool {
	return j.loaded[rank] < j.budget.PerRank && (j.budget.PerSet == 0 || j.loadedSet[set][rank] < j.budget.PerSet)
}

// bestChange returns the worthwhile change with the largest saving; changes without copies go
// first.
func (j *jointImprover) bestChange() (change, bool) {
	best := -1
	for s := range j.sets {
		c := &j.choices[s]
		if !c.valid || c.change.copies > 0 && !j.canLoad(s, c.change.to) {
			*c = j.bestOfSet(s)
		}
		if c.gain <= j.minSaving(c.change.copies) {
			continue
		}
		if best < 0 || isPreferred(c, &j.choices[best]) {
			best = s
		}
	}
	if best < 0 {
		return change{}, false
	}
	return j.choices[best].change, true
}

// isPreferred reports whether a goes before b: choices without copies go first, then larger
// savings.
func isPreferred(a, b *choice) bool {
	if (a.change.copies == 0) != (b.change.copies == 0) {
		return a.change.copies == 0
	}
	return a.gain > b.gain
}

// bestOfSet returns the best change of one set.
func (j *jointImprover) bestOfSet(s int) choice {
	im := j.sets[s]
	out := choice{valid: true}
	sum := im.powerSum()
	if sum <= 0 {
		return out
	}
	now := root(sum)
	j.forEachChange(s, im.hottest(), func(c change) {
		g := choice{
			change: c,
			gain:   (now - root(sum+im.powerDelta(c))) * im.mean,
			valid:  true,
		}
		if g.gain <= j.minSaving(c.copies) {
			return
		}
		if out.gain == 0 || isPreferred(&g, &out) {
			out = g
		}
	})
	return out
}

// forEachChange calls consider with each change of a set that takes load off its hottest rank.
func (j *jointImprover) forEachChange(s, hot int, consider func(change)) {
	im := j.sets[s]
	targets := j.targets(s, hot)
	for _, e := range im.held[hot] {
		if len(im.p.Experts[e]) > 1 {
			consider(change{set: s, expert: e, from: hot, to: -1, evicted: -1})
		}
		for _, t := range targets {
			to := t.rank
			if slices.Contains(im.p.Experts[e], to) {
				continue
			}
			for _, evicted := range t.evictions {
				consider(change{set: s, expert: e, from: -1, to: to, evicted: evicted, copies: 1})
				consider(change{set: s, expert: e, from: hot, to: to, evicted: evicted, copies: 1})
			}
		}
	}
}

// power returns the eighth power of the time that a rank takes for a load, relative to the mean. The
// sum over the ranks approximates the largest; unlike the maximum, it still shows a gain where two
// ranks are equally hot.
func (im *improver) power(rank int, load float64) float64 {
	x := load * paceOf(im.pace, rank) / im.mean
	x *= x
	x *= x
	return x * x
}

// powerSum returns the sum of power over all ranks.
func (im *improver) powerSum() float64 {
	if im.mean <= 0 {
		return 0
	}
	sum := 0.0
	for r, l := range im.ranks {
		sum += im.power(r, l)
	}
	return sum
}

// powerDelta returns by how much a change alters powerSum; it only evaluates the affected ranks.
func (im *improver) powerDelta(c change) float64 {
	im.touched = im.touched[:0]
	im.shiftLoad(c.expert, c.from, c.to)
	if c.evicted >= 0 {
		im.shiftLoad(c.evicted, c.to, -1)
	}
	delta := 0.0
	for _, r := range im.touched {
		delta += im.power(r, im.ranks[r]+im.delta[r]) - im.power(r, im.ranks[r])
		im.delta[r] = 0
	}
	return delta
}

// shiftLoad records the load changes of an expert's copies when rank from drops one and rank to
// gets one; negative ranks mean none.
func (im *improver) shiftLoad(e, from, to int) {
	holders := im.p.Experts[e]
	n := len(holders)
	before := im.share(e, n)
	if from >= 0 {
		n--
	}
	if to >= 0 {
		n++
	}
	share := im.share(e, n)
	for _, r := range holders {
		if r == from {
			im.touch(r, -before)
			continue
		}
		im.touch(r, share-before)
	}
	if to >= 0 {
		im.touch(to, share)
	}
}

func (im *improver) touch(r int, by float64) {
	if !slices.Contains(im.touched, r) {
		im.touched = append(im.touched, r)
	}
	im.delta[r] += by
}

func (j *jointImprover) apply(c change) {
	im := j.sets[c.set]
	j.choices[c.set].valid = false
	if c.evicted >= 0 {
		im.remove(c.evicted, c.to)
	}
	if c.to >= 0 {
		im.add(c.expert, c.to)
		j.loaded[c.to]++
		j.loadedSet[c.set][c.to]++
	}
	if c.from >= 0 {
		im.remove(c.expert, c.from)
	}
}
