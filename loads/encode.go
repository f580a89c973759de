package loads

import (
	"math"
	"time"

	"geraniumpass/core"
	"geraniumpass/proto"
)

// maxCount is the largest number of requests that a message holds for a rank.
const maxCount = math.MaxUint8

// normalPace is the pace of a rank that is not slow.
const normalPace = 1.0

// Encode returns the message of a group's load. Without withStarts it omits the incarnations of the
// ranks, which the receiver must have from an earlier message of the same link and version.
func Encode(g *Group, startsVersion int64, withStarts bool) *proto.GroupLoad {
	m := &proto.GroupLoad{
		Group:     g.Name,
		Epoch:     g.Epoch,
		Open:      g.Open,
		ClosedMs:  g.ClosedFor.Milliseconds(),
		StepMs:    float64(g.StepTime) / float64(time.Millisecond),
		StalledMs: g.StalledFor.Milliseconds(),

		OpeningBasis: uint8(g.Opening.Basis),
		OpensInMs:    g.Opening.OpensIn.Milliseconds(),
		Missing:      g.Opening.Missing,
	}
	if len(g.Ranks) > 0 {
		m.Ranks = EncodeRanks(g.Ranks, startsVersion, withStarts)
		m.RanksAgeMs = g.RanksAge.Milliseconds()
	}
	return m
}

// EncodeRanks returns the message of the loads of all ranks, with their incarnations if withStarts is
// set.
func EncodeRanks(ranks []Rank, startsVersion int64, withStarts bool) *proto.RankLoads {
	m := &proto.RankLoads{
		Running:       make([]byte, len(ranks)),
		Waiting:       make([]byte, len(ranks)),
		StartsVersion: startsVersion,
	}
	for r := range ranks {
		m.Running[r] = countOf(ranks[r].Running)
		m.Waiting[r] = countOf(ranks[r].Waiting)
		if ranks[r].Pace > normalPace {
			if m.Slow == nil {
				m.Slow = make(map[int]float64)
			}
			m.Slow[r] = ranks[r].Pace
		}
	}
	if !withStarts {
		return m
	}
	m.Starts = make([]core.Start, len(ranks))
	for r := range ranks {
		m.Starts[r] = ranks[r].Start
	}
	return m
}

func countOf(n int) byte {
	return byte(min(max(n, 0), maxCount))
}
