package loads

import "time"

const (
	// relievingGapShare is the share of the longest accepted pause that the steps of a group may take for
	// it to relieve others: more requests make its steps longer.
	relievingGapShare = 0.85
	// relievingLoadShare is the share of its slots up to which a group relieves others.
	relievingLoadShare = 0.9
	// maxRelievingAge is the age up to which the loads of ranks tell that a group has free slots.
	maxRelievingAge = 500 * time.Millisecond
	// arrivingShare is the share of its load that a group is sent before entries see the effect: streams
	// last some seconds, and statuses are about a quarter of a second old.
	arrivingShare = 0.1
)

// Delayed returns the names of the groups that a new request should avoid: their steps last longer than
// gap, the longest pause between two events that callers accept, and another group with steps in time has
// free slots. slots is the number of requests that an instance runs concurrently. All entries know the same
// load, so each request avoids them with the probability at which those that do just fit into the free
// slots until the next status; draw is a random number from 0 to below 1.
func Delayed(groups map[string]Status, gap time.Duration, slots int, draw float64) map[string]bool {
	if gap <= 0 {
		return nil
	}
	out := make(map[string]bool)
	load, room := 0, 0.0
	for name := range groups {
		s := groups[name]
		switch {
		case s.isDelayed(gap):
			out[name] = true
			load += s.load()
		case s.canRelieve(gap, slots):
			room += s.relievingRoom(slots)
		}
	}
	if draw*arrivingShare*float64(load) >= room {
		return nil
	}
	return out
}

// HasDelayed reports whether the steps of any group are known to last longer than gap.
func (b *Board) HasDelayed(gap time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	for _, p := range b.byName {
		if s, ok := p.status(now); ok && s.isDelayed(gap) {
			return true
		}
	}
	return false
}

// isDelayed reports whether a group makes steps that last longer than gap. One that makes none is stalled.
func (s *Status) isDelayed(gap time.Duration) bool {
	return s.IsUsable(gap) && s.presentStep() > gap
}

// canRelieve reports whether a group can take the requests of others without becoming late itself.
func (s *Status) canRelieve(gap time.Duration, slots int) bool {
	return s.IsUsable(gap) && len(s.Ranks) > 0 && s.Age+s.RanksAge < maxRelievingAge &&
		float64(s.presentStep()) <= relievingGapShare*float64(gap) &&
		s.relievingRoom(slots) > 0
}

// relievingRoom returns the number of requests that a group can take from others.
func (s *Status) relievingRoom(slots int) float64 {
	return relievingLoadShare*float64(slots*len(s.Ranks)) - float64(s.load())
}

func (s *Status) load() int {
	return s.Running() + s.Waiting()
}

// presentStep returns the time of the steps at present. StepTime is a mean and still small during the
// first long step.
func (s *Status) presentStep() time.Duration {
	return max(s.StepTime, s.StalledFor)
}
