package crash

import "time"

const (
	// enough is the weight of ends from which a request is refused. Of the requests that two instances were running when they ended, as a rule
	// only the one that ended them was at both.
	enough = 2.0
	// togetherWindow is within which instances count as ended together. What takes several at once is seldom one of their requests, and an
	// innocent one that goes on from one of them to the next is at both.
	togetherWindow = time.Second
	// doubtWeight is what an end among others weighs, or one that may have been a partition. It is not zero: such requests may come several at
	// a time, be sent on at once, and take a whole failure domain.
	doubtWeight = 0.5
	// atAll is from how many instances on that ended together a request that was at all of them is hardly innocent.
	atAll = 3
)

// refused returns true when the ends that count against a request are enough.
func (g *Registry) refused(s *suspect) bool {
	ends := s.counted()
	if float64(len(ends)) < enough {
		return false
	}
	sum := 0.0
	for _, r := range ends {
		sum += g.weight(s, r)
	}
	return sum >= enough
}

// weight is what an end speaks against a request: less when other instances ended at the same moment or may only have been out of reach.
func (g *Registry) weight(s *suspect, r *record) float64 {
	if r.Unsure {
		return doubtWeight
	}
	all := make(map[Place]bool)
	for _, other := range g.suspects {
		for p, near := range other.ends {
			if together(near, r) {
				all[p] = true
			}
		}
	}
	if len(all) == 1 {
		return 1
	}
	mine := 0
	for _, near := range s.counted() {
		if together(near, r) {
			mine++
		}
	}
	if len(all) >= atAll && mine == len(all) {
		return 1
	}
	return doubtWeight
}

// together returns true for ends at the same moment.
func together(a, b *record) bool {
	return (time.Duration(a.Time-b.Time) * time.Millisecond).Abs() < togetherWindow
}
