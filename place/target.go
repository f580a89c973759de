package place

// copyTarget is a rank that can load a copy, and the experts that it can drop for it.
type copyTarget struct {
	rank      int
	evictions []int
}

// targets returns the least loaded ranks that may load a copy of an expert of the hottest rank.
func (j *jointImprover) targets(s, hot int) []copyTarget {
	im := j.sets[s]
	cold := im.coldest()
	var out []copyTarget
	for _, r := range cold[:min(jointColdRanks, len(cold))] {
		if r != hot && j.canLoad(s, r) {
			out = append(out, copyTarget{
				rank:      r,
				evictions: im.evictionCandidates(r),
			})
		}
	}
	return out
}

// evictionCandidates returns the experts that a rank can drop to make room, or -1 if it has a free
// slot.
func (im *improver) evictionCandidates(rank int) []int {
	if len(im.held[rank]) < im.p.Slots {
		return []int{-1}
	}
	var out []int
	for _, x := range im.held[rank] {
		if len(im.p.Experts[x]) > 1 {
			out = append(out, x)
		}
	}
	return out
}
