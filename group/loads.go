package group

import (
	"time"

	"geraniumpass/core"
	"geraniumpass/loads"
	"geraniumpass/proto"
	"geraniumpass/wire"
)

// loadTTL is how long a load is used after its rank or the leader was last heard.
const loadTTL = time.Second

// rankLoads is what a leader knows of the loads of all ranks and sends to them.
type rankLoads struct {
	ranks []loads.Rank
	// heardAt is when each rank last reported.
	heardAt []time.Time
	// version is that of the incarnations, and sent the version that each link has had.
	version int64
	sent    map[*wire.Link]int64
	// full and bare are the messages with and without the incarnations.
	full *proto.RankLoads
	bare *proto.RankLoads
}

func newRankLoads(size int) *rankLoads {
	return &rankLoads{
		ranks:   make([]loads.Rank, size),
		heardAt: make([]time.Time, size),
		version: 1,
		sent:    make(map[*wire.Link]int64),
	}
}

// observe takes the newest state of a rank.
func (t *rankLoads) observe(now time.Time, r int, start core.Start, state *proto.GroupRank) {
	if t.ranks[r].Start != start {
		t.ranks[r].Start = start
		t.version++
	}
	t.ranks[r].Running = state.Running
	t.ranks[r].Waiting = state.Waiting
	t.heardAt[r] = now
}

// update prepares the messages. paces holds the paces of the ranks that count as slow and normalPace
// for the others.
func (t *rankLoads) update(now time.Time, reported, paces []float64) {
	running := t.meanRunning(now)
	for r := range t.ranks {
		t.ranks[r].Pace = paceToSend(reported[r], paces[r])
		if !t.isRecent(now, r) {
			// An unknown rank must not look emptier than the others, nor keep an idle group busy.
			t.ranks[r].Running, t.ranks[r].Waiting = running, 0
		}
	}
	t.full = loads.EncodeRanks(t.ranks, t.version, true)
	t.bare = loads.EncodeRanks(t.ranks, t.version, false)
}

func paceToSend(reported, pace float64) float64 {
	if reported >= slowEnterPace {
		return reported
	}
	return pace
}

func (t *rankLoads) isRecent(now time.Time, r int) bool {
	return now.Sub(t.heardAt[r]) < loadTTL
}

// meanRunning returns the mean of the running requests over the ranks that reported lately.
func (t *rankLoads) meanRunning(now time.Time) int {
	sum, known := 0, 0
	for r := range t.ranks {
		if t.isRecent(now, r) {
			sum += t.ranks[r].Running
			known++
		}
	}
	return sum / max(known, 1)
}

// message returns the message for a link, with the incarnations unless the link has had them.
func (t *rankLoads) message(l *wire.Link) *proto.RankLoads {
	if t.sent[l] == t.version {
		return t.bare
	}
	t.sent[l] = t.version
	return t.full
}

// forgetLink forgets a link that ended.
func (t *rankLoads) forgetLink(l *wire.Link) {
	delete(t.sent, l)
}
