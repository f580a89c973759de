package group

import (
	"geraniumpass/place"
	"geraniumpass/plan"
)

// layoutOf lists the experts by set and rank, the form in which engines take a map.
func layoutOf(sets []*place.Placement) [][][]int {
	out := make([][][]int, len(sets))
	for s, p := range sets {
		out[s] = make([][]int, p.Ranks)
		for r := range out[s] {
			out[s][r] = []int{}
		}
		for e, holders := range p.Experts {
			for _, r := range holders {
				out[s][r] = append(out[s][r], e)
			}
		}
	}
	return out
}

// placementsOf combines the lists of all ranks; it returns nil if a list is missing or an expert
// has no rank.
func placementsOf(lists [][][]int, e *plan.Engine) []*place.Placement {
	sets := make([]*place.Placement, e.Sets)
	for s := range sets {
		sets[s] = &place.Placement{
			Ranks:   len(lists),
			Slots:   e.Places,
			Experts: make([][]int, e.Experts),
		}
		for r, list := range lists {
			if len(list) != e.Sets {
				return nil
			}
			for _, x := range list[s] {
				if x < 0 || x >= e.Experts {
					return nil
				}
				sets[s].Experts[x] = append(sets[s].Experts[x], r)
			}
		}
		if !sets[s].Valid() {
			return nil
		}
	}
	return sets
}
