package group

import (
	"time"

	"geraniumpass/wire"
)

// stateRepeatInterval is how often a rank tells its leader an unchanged state, several times in loadTTL.
const stateRepeatInterval = 200 * time.Millisecond

// sentState is the state that a rank sent to its leader last. The zero value is none.
type sentState struct {
	link   *wire.Link
	report Report
	at     time.Time
}

// isRepeat reports whether the leader has a state already and needs no sign that it still holds. Ranks read
// their engines more often than a step lasts, and a leader gets the states of all of them.
func (s *sentState) isRepeat(l *wire.Link, rep *Report, now time.Time) bool {
	return s.link == l && s.report == *rep && now.Sub(s.at) < stateRepeatInterval
}
