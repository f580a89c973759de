package loads

import (
	"time"

	"geraniumpass/core"
)

const (
	// minStall is the shortest time without a step that counts as a stall; engines of short steps pause
	// that long for a switch of maps.
	minStall = 200 * time.Millisecond
	// stallGaps is how many times the longest pause that callers accept a group may make no step before
	// it counts as stalled. Streams that start there are late by then.
	stallGaps = 1.75
)

// IsStalled reports whether the group makes no steps although requests are running, measured by the
// longest pause between two events that callers accept.
func (s *Status) IsStalled(gap time.Duration) bool {
	return s.StalledFor > max(minStall, time.Duration(stallGaps*float64(gap)))
}

// IsUsable reports whether new requests make progress in the group.
func (s *Status) IsUsable(gap time.Duration) bool {
	return s.Open && !s.IsStalled(gap)
}

// RankOf returns the load of the rank that an incarnation is, and false if it is none of the group's.
func (s *Status) RankOf(start core.Start) (Rank, bool) {
	for _, r := range s.Ranks {
		if r.Start == start {
			return r, true
		}
	}
	return Rank{}, false
}
