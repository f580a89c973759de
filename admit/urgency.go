package admit

import "time"

const (
	// DefaultUrgency is what engines assume if they are told nothing.
	DefaultUrgency = 5
	// LateUrgency is that of requests that are late if all ranks are equal.
	LateUrgency = 8
	// maxUrgency is the last of all.
	maxUrgency = 9
	// firstUrgency is that of the highest of several ranks, and lastTimely that of the lowest one.
	firstUrgency = 2
	lastTimely   = 6
	// urgencyStep is the difference between two ranks. It exceeds one so that engines that let requests
	// age still keep the order.
	urgencyStep = 2
)

// urgency returns the priority for the engine, from 0 to 9: by rank if several are in use, and timely
// requests before late ones of any rank.
func (t *turns) urgency(now time.Time, rank int, late bool) int {
	highest, lowest := t.ranksInUse(now)
	switch {
	case highest == lowest && late:
		return LateUrgency
	case highest == lowest:
		return DefaultUrgency
	case late && rank == highest:
		return LateUrgency - 1
	case late && rank == lowest:
		return maxUrgency
	case late:
		return LateUrgency
	}
	return min(firstUrgency+urgencyStep*(rank-highest), lastTimely)
}

// IsLateUrgency reports whether an urgency is that of a late request of any rank.
func IsLateUrgency(urgency int) bool {
	return urgency > lastTimely
}

// ranksInUse returns the highest and the lowest priority with recent requests.
func (t *turns) ranksInUse(now time.Time) (int, int) {
	highest, lowest := maxRank, 0
	for i := range t.usedAt {
		if t.usedAt[i].IsZero() || now.Sub(t.usedAt[i]) > rankMemory {
			continue
		}
		highest = min(highest, i)
		lowest = max(lowest, i)
	}
	return highest, lowest
}
