package loads

import "time"

const (
	// minAvoidedStall is the shortest time without a step for which new requests avoid a group; a switch
	// of maps pauses engines with short steps for almost as long.
	minAvoidedStall = 200 * time.Millisecond
	// avoidedStallGaps times the longest pause that callers accept is how long a group makes no step
	// before new requests avoid it. Streams that run there are late by then.
	avoidedStallGaps = 1.75
)

// IsStalled reports whether the group makes no steps although requests are running, measured by the
// longest pause between two events that callers accept.
func (s *Status) IsStalled(gap time.Duration) bool {
	return s.standsFor(minAvoidedStall, avoidedStallGaps, gap)
}

// IsUsable reports whether new requests make progress in the group.
func (s *Status) IsUsable(gap time.Duration) bool {
	return s.Open && !s.IsStalled(gap)
}

// standsFor reports whether the group makes no step for longer than least and than gaps pauses.
func (g *Group) standsFor(least time.Duration, gaps float64, pause time.Duration) bool {
	return g.StalledFor > max(least, time.Duration(gaps*float64(pause)))
}
