package place

// Align permutes the interchangeable ranks of next so that switching to it from p takes few copies.
func Align(p, next *Placement) *Placement {
	overlap := overlaps(p, next)
	name := make([]int, p.Ranks)
	taken := make([]bool, p.Ranks)
	done := make([]bool, p.Ranks)
	// Greedy matching: the pairs that share most experts are matched first.
	for shared := p.Slots; shared >= 0; shared-- {
		for to := range p.Ranks {
			for from := 0; from < p.Ranks && !done[to]; from++ {
				if !taken[from] && overlap[from][to] >= shared {
					name[to], taken[from], done[to] = from, true, true
				}
			}
		}
	}
	out := next.Clone()
	for e, holders := range out.Experts {
		for i, r := range holders {
			out.Experts[e][i] = name[r]
		}
	}
	return out
}

// overlaps returns the number of experts that each rank of p shares with each rank of next.
func overlaps(p, next *Placement) [][]int {
	out := make([][]int, p.Ranks)
	for r := range out {
		out[r] = make([]int, p.Ranks)
	}
	for e, holders := range next.Experts {
		for _, to := range holders {
			for _, from := range p.Experts[e] {
				out[from][to]++
			}
		}
	}
	return out
}
