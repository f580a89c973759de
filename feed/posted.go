package feed

import (
	"time"

	"geraniumpass/loads"
)

// postInterval is how long a status that names the same group and instances as the last one is not
// passed on to the selection. It is well within lostAfter, and below the interval of an idle group.
const postInterval = 250 * time.Millisecond

// posted is the status of a subscription that was passed on last.
type posted struct {
	group string
	ranks []loads.Rank
	at    time.Time
}

// isDue reports whether a status has to be passed on at now, and remembers it if so.
func (p *posted) isDue(now time.Time, g *loads.Group) bool {
	if p.group == g.Name && loads.HaveSameStarts(p.ranks, g.Ranks) && now.Sub(p.at) < postInterval {
		return false
	}
	*p = posted{
		group: g.Name,
		ranks: g.Ranks,
		at:    now,
	}
	return true
}
