package place

import (
	"slices"
	"sort"
)

// improveColdRanks is how many of the least loaded ranks are considered as targets of a copy.
const improveColdRanks = 16

// minRelativeGain is the least relative load reduction of the hottest rank that justifies a copy.
const minRelativeGain = 0.002

// actionKind is a way to relieve the hottest rank of an expert.
type actionKind uint8

const (
	// kindCopy adds a copy on another rank, which reduces the share of the hottest one.
	kindCopy actionKind = iota
	// kindSwap exchanges the expert for a lighter one.
	kindSwap
)

// action is one change of a placement: rank to receives a copy of expert and drops evicted, if that
// isn't negative.
type action struct {
	kind    actionKind
	expert  int
	to      int
	evicted int
	copies  int
	peak    float64
}

// improver applies actions to a placement and keeps the rank loads up to date.
type improver struct {
	p     *Placement
	load  []float64
	ranks []float64
	// pace is nil if all ranks are equally fast.
	pace []float64
	held [][]int
	// mean is the time of each rank under perfect balance.
	mean float64
	// delta and touched are scratch space for evaluating a change.
	delta   []float64
	touched []int
}

// Improve returns a placement whose skew is at most target, or as close to it as maxCopies expert
// loads allow, and the number of copies needed. It greedily applies the action that lowers the load
// of the hottest rank most per copy.
func Improve(p *Placement, load []float64, target float64, maxCopies int) (*Placement, int) {
	im := newImprover(p, load, nil)
	copies := 0
	for copies < maxCopies {
		hot := im.hottest()
		if im.mean <= 0 || im.ranks[hot]/im.mean-1 <= target {
			break
		}
		a, ok := im.bestAction(hot, maxCopies-copies)
		if !ok {
			return orRebuild(p, im.p, load, copies, maxCopies)
		}
		im.apply(hot, a)
		copies += a.copies
	}
	return im.p, copies
}

// orRebuild returns a placement rebuilt from scratch if no single action helps any more, the
// rebuild stays within maxCopies, and its skew is clearly lower.
func orRebuild(p, improved *Placement, load []float64, copies, maxCopies int) (*Placement, int) {
	rebuilt := Align(p, Rebuild(load, p.Ranks, p.Slots))
	n := p.Copies(rebuilt, -1)
	if n > maxCopies || 1+rebuilt.Skew(load) > (1+improved.Skew(load))*(1-rebuildMinGain) {
		return improved, copies
	}
	return rebuilt, n
}

// rebuildMinGain is the least relative gain that justifies a rebuild.
const rebuildMinGain = 0.02

func newImprover(p *Placement, load, pace []float64) *improver {
	im := &improver{
		p:     p.Clone(),
		load:  load,
		ranks: p.Loads(load),
		pace:  pace,
		held:  make([][]int, p.Ranks),
		delta: make([]float64, p.Ranks),
	}
	for e, holders := range p.Experts {
		for _, r := range holders {
			im.held[r] = append(im.held[r], e)
		}
	}
	im.mean = sumOf(im.ranks) / totalSpeed(pace, p.Ranks)
	return im
}

// rankTime returns the time that a rank takes for its load.
func (im *improver) rankTime(rank int) float64 {
	return im.ranks[rank] * paceOf(im.pace, rank)
}

// hottest returns the rank that takes longest.
func (im *improver) hottest() int {
	hot := 0
	for r := range im.ranks {
		if im.rankTime(r) > im.rankTime(hot) {
			hot = r
		}
	}
	return hot
}

// coldest returns the ranks that take the least time, the coldest first.
func (im *improver) coldest() []int {
	order := make([]int, len(im.ranks))
	for r := range order {
		order[r] = r
	}
	sort.SliceStable(order, func(i, j int) bool { return im.rankTime(order[i]) < im.rankTime(order[j]) })
	return order[:min(improveColdRanks, len(order))]
}

// share returns the load of each copy of expert e if it has n copies.
func (im *improver) share(e, n int) float64 {
	return im.load[e] / float64(n)
}

func (im *improver) bestAction(hot, maxCopies int) (action, bool) {
	var best action
	bestScore := 0.0
	before := im.ranks[hot]
	consider := func(a action) {
		if a.copies > maxCopies || a.peak >= before*(1-minRelativeGain) {
			return
		}
		if score := (before - a.peak) / float64(a.copies); score > bestScore {
			best, bestScore = a, score
		}
	}
	for _, cold := range im.coldest() {
		if cold == hot {
			continue
		}
		for _, e := range im.held[hot] {
			if !slices.Contains(im.p.Experts[e], cold) {
				im.tryCopies(e, hot, cold, consider)
				im.trySwaps(e, hot, cold, consider)
			}
		}
	}
	return best, bestScore > 0
}

// tryCopies considers a further copy of e on the cold rank, in a free slot or in place of an expert
// with other copies.
func (im *improver) tryCopies(e, hot, cold int, consider func(action)) {
	n := len(im.p.Experts[e])
	after := im.share(e, n+1)
	hotLoad := im.ranks[hot] - im.share(e, n) + after
	if len(im.held[cold]) < im.p.Slots {
		consider(action{
			kind:    kindCopy,
			expert:  e,
			to:      cold,
			evicted: -1,
			copies:  1,
			peak:    max(hotLoad, im.ranks[cold]+after),
		})
	}
	for _, x := range im.held[cold] {
		m := len(im.p.Experts[x])
		if m < 2 {
			continue
		}
		grown := im.share(x, m-1) - im.share(x, m)
		consider(action{
			kind:    kindCopy,
			expert:  e,
			to:      cold,
			evicted: x,
			copies:  1,
			peak:    im.peakWithout(x, cold, hot, hotLoad, im.ranks[cold]-im.share(x, m)+after, grown),
		})
	}
}

// peakWithout returns the highest load among the ranks affected by an action that removes a copy of
// x from the cold rank.
func (im *improver) peakWithout(x, cold, hot int, hotLoad, coldLoad, grown float64) float64 {
	peak := max(hotLoad, coldLoad)
	for _, r := range im.p.Experts[x] {
		switch r {
		case cold:
		case hot:
			peak = max(peak, hotLoad+grown)
		default:
			peak = max(peak, im.ranks[r]+grown)
		}
	}
	return peak
}

// trySwaps considers exchanging e for a lighter expert of the cold rank.
func (im *improver) trySwaps(e, hot, cold int, consider func(action)) {
	we := im.share(e, len(im.p.Experts[e]))
	for _, x := range im.held[cold] {
		wx := im.share(x, len(im.p.Experts[x]))
		if wx >= we || slices.Contains(im.p.Experts[x], hot) {
			continue
		}
		consider(action{
			kind:    kindSwap,
			expert:  e,
			to:      cold,
			evicted: x,
			copies:  2,
			peak:    max(im.ranks[hot]-we+wx, im.ranks[cold]-wx+we),
		})
	}
}

func (im *improver) apply(hot int, a action) {
	if a.evicted >= 0 {
		im.remove(a.evicted, a.to)
	}
	im.add(a.expert, a.to)
	if a.kind == kindSwap {
		im.remove(a.expert, hot)
		im.add(a.evicted, hot)
	}
}

func (im *improver) add(e, rank int) {
	im.addShares(e, -1)
	im.p.Experts[e] = append(im.p.Experts[e], rank)
	im.held[rank] = append(im.held[rank], e)
	im.addShares(e, 1)
}

func (im *improver) remove(e, rank int) {
	im.addShares(e, -1)
	im.p.Experts[e] = without(im.p.Experts[e], rank)
	im.held[rank] = without(im.held[rank], e)
	im.addShares(e, 1)
}

// addShares adds the load shares of an expert's copies to their ranks, or subtracts them if sign is
// negative.
func (im *improver) addShares(e int, sign float64) {
	n := len(im.p.Experts[e])
	for _, r := range im.p.Experts[e] {
		im.ranks[r] += sign * im.share(e, n)
	}
}

func without(list []int, v int) []int {
	i := slices.Index(list, v)
	return slices.Delete(slices.Clone(list), i, i+1)
}
