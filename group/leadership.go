package group

import (
	"slices"
	"time"

	"geraniumpass/core"
	"geraniumpass/place"
	"geraniumpass/shift"
	"geraniumpass/wire"
)

// newLeadership returns the state of a term that begins.
func newLeadership(m *Member, rep Report, fence int64) *leadership {
	return &leadership{
		m:             m,
		group:         rep.Group,
		leader:        shift.NewLeader(fence, rep.Size),
		events:        make(chan event, eventQueueSize),
		links:         make([]*wire.Link, rep.Size),
		dialed:        make(map[string]bool),
		rankOf:        make(map[*wire.Link]int),
		foreignSince:  make(map[string]time.Time),
		known:         make([]bool, rep.Size),
		reportedPaces: slices.Repeat([]float64{normalPace}, rep.Size),
		paces:         slices.Repeat([]float64{normalPace}, rep.Size),
		starts:        make([]core.Start, rep.Size),
		slow:          newSlowRankWriter(m.Store, m.SlowPrefix+rep.Group, m.Log),
		loads:         newRankLoads(rep.Size),
		sent:          make([]shift.Order, rep.Size),
		sentAt:        make([]time.Time, rep.Size),
		seqs:          make([]uint64, rep.Size),
		lists:         make([][][]int, rep.Size),
		listsVersion:  make([]int64, rep.Size),
		prepared:      make([]int64, rep.Size),
		baseMap:       make([]int64, rep.Size),
		mapSent:       make([]int64, rep.Size),
		inUse:         shift.None,
		demand:        place.Demand{HalfLife: demandHalfLife, Ranks: rep.Size},
		phaseSince:    m.Clock.Now(),
	}
}
