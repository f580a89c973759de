package loads

import (
	"math"
	"time"

	"geraniumpass/core"
	"geraniumpass/outage"
	"geraniumpass/proto"
)

// maxMilliseconds is the longest time that a message may hold. Sums of two such times don't overflow.
const maxMilliseconds = int64(math.MaxInt64 / time.Millisecond / 4)

// Decoder decodes the messages of one link in their order. It remembers the incarnations of the ranks,
// which most messages omit. The zero value is ready for a new link.
type Decoder struct {
	starts  []core.Start
	version int64
}

// Decode returns the load in a message. It fails with a *MessageError if the message contradicts itself;
// the decoder is then as before.
func (d *Decoder) Decode(m *proto.GroupLoad) (Group, error) {
	if err := checkGroup(m); err != nil {
		return Group{}, err
	}
	g := Group{
		Name:       m.Group,
		Epoch:      m.Epoch,
		Open:       m.Open,
		ClosedFor:  time.Duration(m.ClosedMs) * time.Millisecond,
		StepTime:   time.Duration(m.StepMs * float64(time.Millisecond)),
		StalledFor: time.Duration(m.StalledMs) * time.Millisecond,
		RanksAge:   time.Duration(m.RanksAgeMs) * time.Millisecond,
		Opening:    openingOf(m),
	}
	if m.Ranks == nil {
		return g, nil
	}
	ranks, err := d.DecodeRanks(m.Ranks)
	if err != nil {
		return Group{}, err
	}
	g.Ranks = ranks
	return g, nil
}

// DecodeRanks returns the loads of all ranks in a message, without incarnations if the link has not
// carried those of the message's version. It fails with a *MessageError like Decode.
func (d *Decoder) DecodeRanks(m *proto.RankLoads) ([]Rank, error) {
	starts := m.Starts
	if starts == nil && m.StartsVersion == d.version {
		starts = d.starts
	}
	if err := checkRanks(m, starts); err != nil {
		return nil, err
	}
	if m.Starts != nil {
		d.starts, d.version = m.Starts, m.StartsVersion
	}
	ranks := make([]Rank, len(m.Running))
	for r := range ranks {
		ranks[r] = Rank{
			Running: int(m.Running[r]),
			Waiting: int(m.Waiting[r]),
			Pace:    normalPace,
		}
		if starts != nil {
			ranks[r].Start = starts[r]
		}
	}
	for r, pace := range m.Slow {
		ranks[r].Pace = pace
	}
	return ranks, nil
}

// openingOf returns when the group is expected to open. A basis of a newer build counts as none.
func openingOf(m *proto.GroupLoad) outage.Estimate {
	e := outage.Estimate{
		Basis:   outage.Basis(m.OpeningBasis),
		Missing: m.Missing,
		OpensIn: time.Duration(m.OpensInMs) * time.Millisecond,
	}
	if m.Open || !e.Basis.IsValid() {
		return outage.Estimate{}
	}
	return e
}

// MissingRanks returns the number of ranks that the sender doesn't hear, outage.MissingUnknown if the
// message doesn't tell it or tells more than there are.
func MissingRanks(m *proto.RankLoads) int {
	if m.Missing == nil || *m.Missing < 0 || *m.Missing > len(m.Running) {
		return outage.MissingUnknown
	}
	return *m.Missing
}

// BackFor returns how long ago the last missing rank was back, zero if the message doesn't tell it.
func BackFor(m *proto.RankLoads) time.Duration {
	if !isTime(m.BackMs) {
		return 0
	}
	return time.Duration(m.BackMs) * time.Millisecond
}

func checkGroup(m *proto.GroupLoad) error {
	switch {
	case m.Group == "":
		return &MessageError{Field: "group"}
	case !isTime(m.ClosedMs):
		return &MessageError{Field: "closed"}
	case !isTime(m.StalledMs):
		return &MessageError{Field: "stalled"}
	case !isTime(m.RanksAgeMs):
		return &MessageError{Field: "ranks age"}
	case !isTime(m.OpensInMs) || m.Missing < 0:
		return &MessageError{Field: "opening"}
	case !(m.StepMs >= 0 && m.StepMs < float64(maxMilliseconds)):
		return &MessageError{Field: "step time"}
	}
	return nil
}

func isTime(ms int64) bool {
	return ms >= 0 && ms <= maxMilliseconds
}

func checkRanks(m *proto.RankLoads, starts []core.Start) error {
	size := len(m.Running)
	if len(m.Waiting) != size {
		return &MessageError{Field: "waiting"}
	}
	if starts != nil && len(starts) != size {
		return &MessageError{Field: "starts"}
	}
	for r, pace := range m.Slow {
		if r < 0 || r >= size || !(pace >= normalPace) || math.IsInf(pace, 0) {
			return &MessageError{Field: "slow"}
		}
	}
	return nil
}
