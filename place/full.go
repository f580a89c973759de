package place

import (
	"container/heap"
	"slices"
	"sort"
)

// Rebuild computes a placement from scratch: copies in proportion to load, assigned heaviest first
// to the least loaded rank.
func Rebuild(load []float64, ranks, slots int) *Placement {
	copies := copyCounts(load, ranks, slots)
	p := &Placement{
		Ranks:   ranks,
		Slots:   slots,
		Experts: make([][]int, len(load)),
	}
	order := make([]int, len(load))
	for e := range order {
		order[e] = e
	}
	sort.SliceStable(order, func(i, j int) bool {
		return load[order[i]]/float64(copies[order[i]]) > load[order[j]]/float64(copies[order[j]])
	})
	rankLoad := make([]float64, ranks)
	held := make([]int, ranks)
	for _, e := range order {
		for range copies[e] {
			r := leastLoaded(rankLoad, held, slots, p.Experts[e])
			if r < 0 {
				break
			}
			p.Experts[e] = append(p.Experts[e], r)
			held[r]++
			rankLoad[r] += load[e] / float64(copies[e])
		}
	}
	return p
}

// copyCounts gives each expert one copy and the remaining slots to the experts with the highest
// load per copy.
func copyCounts(load []float64, ranks, slots int) []int {
	copies := make([]int, len(load))
	h := &expertHeap{}
	for e := range load {
		copies[e] = 1
		heap.Push(h, expertShare{
			expert: e,
			share:  load[e],
		})
	}
	for range ranks*slots - len(load) {
		top := (*h)[0]
		if copies[top.expert] >= ranks {
			if top.share < 0 {
				break
			}
			(*h)[0].share = -1
			heap.Fix(h, 0)
			continue
		}
		copies[top.expert]++
		(*h)[0].share = load[top.expert] / float64(copies[top.expert])
		heap.Fix(h, 0)
	}
	return copies
}

func leastLoaded(rankLoad []float64, held []int, slots int, taken []int) int {
	best := -1
	for r := range rankLoad {
		if held[r] >= slots || slices.Contains(taken, r) {
			continue
		}
		if best < 0 || rankLoad[r] < rankLoad[best] {
			best = r
		}
	}
	return best
}
