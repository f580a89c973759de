package group

import (
	"time"

	"geraniumpass/core"
	"geraniumpass/loads"
	"geraniumpass/outage"
	"geraniumpass/proto"
	"geraniumpass/wire"
)

// loadTTL is how long a load is used after its rank or the leader was last heard.
const loadTTL = time.Second

// missingAfter is the time after which a rank that isn't heard counts as missing: two reads of an idle
// engine.
const missingAfter = 2 * idlePollInterval

// maxReadable bounds how long a rank's engine counts as readable, so that no time overflows.
const maxReadable = 365 * 24 * time.Hour

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
	// createdAt is when the leader's term began, and missing the number of missing ranks last sent.
	createdAt time.Time
	missing   int
	// backAt is when the last rank that was missing was back.
	backAt time.Time
}

func newRankLoads(now time.Time, size int) *rankLoads {
	return &rankLoads{
		createdAt: now,
		missing:   outage.MissingUnknown,

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
	if now.Sub(t.heardAt[r]) >= missingAfter {
		if back := t.returnedAt(now, r, state); back.After(t.backAt) {
			t.backAt = back
		}
	}
	t.heardAt[r] = now
}

// returnedAt returns when a rank was back that is heard for the first time or after a silence: since its
// engine can be read if that began meanwhile, and just now if the rank was cut off. What a new leader hears
// first may have been there all along.
func (t *rankLoads) returnedAt(now time.Time, r int, state *proto.GroupRank) time.Time {
	readable := now.Add(-readableFor(state))
	silentSince, isNew := t.heardAt[r], false
	if silentSince.IsZero() {
		silentSince, isNew = t.createdAt, now.Sub(t.createdAt) < newLeaderGrace
	}
	if isNew || readable.After(silentSince) {
		return readable
	}
	return now
}

// readableFor returns how long a rank's engine can be read, zero if the message tells no time.
func readableFor(state *proto.GroupRank) time.Duration {
	ms := min(max(state.ReadableMs, 0), maxReadable.Milliseconds())
	return time.Duration(ms) * time.Millisecond
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
	t.missing = t.countMissing(now)
	if missing := t.missing; missing != outage.MissingUnknown {
		t.full.Missing, t.bare.Missing = &missing, &missing
	}
	if t.missing == 0 {
		t.full.BackMs = now.Sub(t.backAt).Milliseconds()
		t.bare.BackMs = t.full.BackMs
	}
}

// isMissingChanged reports whether the number of missing ranks has changed since the last update.
func (t *rankLoads) isMissingChanged(now time.Time) bool {
	return t.countMissing(now) != t.missing
}

// countMissing returns the number of ranks that were not heard for missingAfter, which is unknown until a
// new leader has had the time to hear them.
func (t *rankLoads) countMissing(now time.Time) int {
	missing := 0
	for r := range t.heardAt {
		if now.Sub(t.heardAt[r]) >= missingAfter {
			missing++
		}
	}
	if missing > 0 && now.Sub(t.createdAt) < newLeaderGrace {
		return outage.MissingUnknown
	}
	return missing
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
