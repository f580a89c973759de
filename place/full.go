package place

import (
	"container/heap"
	"slices"
	"sort"
)

// Full places everything anew with no regard for what is held now: copies in proportion to load, heaviest first to the emptiest rank.
func Full(load []float64, ranks, slots int) *Placement {
	copies := shares(load, ranks, slots)
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
			r := emptiest(rankLoad, held, slots, p.Experts[e])
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

// shares gives each expert one copy and the rest to whichever has the most load a copy.
func shares(load []float64, ranks, slots int) []int {
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

func emptiest(rankLoad []float64, held []int, slots int, taken []int) int {
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
