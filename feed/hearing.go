package feed

import "time"

// lostAfter is how long nothing may be heard of a group before that is logged.
const lostAfter = time.Second

// hearing knows of which groups an entry has lately heard nothing.
type hearing struct {
	heardAt map[string]time.Time
	// logged is the set of groups that were returned by lost and not heard of since.
	logged map[string]bool
}

func newHearing() *hearing {
	return &hearing{
		heardAt: make(map[string]time.Time),
		logged:  make(map[string]bool),
	}
}

// heard records a status of a group and reports whether the group was lost before.
func (h *hearing) heard(group string, now time.Time) bool {
	was := h.logged[group]
	delete(h.logged, group)
	h.heardAt[group] = now
	return was
}

// lost returns the groups of which nothing is heard any more, each only once, and forgets those that
// are no longer known.
func (h *hearing) lost(known map[string]bool, now time.Time) []string {
	var out []string
	for group, at := range h.heardAt {
		switch {
		case !known[group]:
			delete(h.heardAt, group)
			delete(h.logged, group)
		case !h.logged[group] && now.Sub(at) >= lostAfter:
			h.logged[group] = true
			out = append(out, group)
		}
	}
	return out
}
