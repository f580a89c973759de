package group

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/zeebo/errs/v2"

	"geraniumpass/retry"
	"geraniumpass/store"
)

const (
	// leaderTimeout is how long no leader must have been heard before a rank campaigns; a leader
	// sends a heartbeat every heartbeatInterval.
	leaderTimeout = 700 * time.Millisecond
	// newLeaderGrace is how long a rank waits for the first heartbeat of a leader that it did not
	// know: a live leader dials unconnected ranks every dialInterval.
	newLeaderGrace = 2 * dialInterval
	// campaignStagger is the additional delay per rank number, so that the ranks do not all
	// campaign at once.
	campaignStagger = 100 * time.Millisecond
	// campaignInterval is the interval between two checks of leaderTimeout.
	campaignInterval = 100 * time.Millisecond
	// firstRanks is how many ranks of a group read the leader from the store when they start: those
	// that would campaign first.
	firstRanks = 4
	// campaignBackoff is the pause after a failed campaign.
	campaignBackoff = time.Second
)

// Elect campaigns whenever no leader is heard and leads after a won election, until ctx ends. A
// rank wins by a compare-and-swap of a record with the next fencing token in the store. There is no
// lease: heartbeats show that a leader is alive, and the guards refuse a leader that was replaced.
func (m *Member) Elect(ctx context.Context) {
	m.loadKnownLeader(ctx)
	for ctx.Err() == nil {
		rep, due := m.campaignDue()
		if !due || m.stopping.Load() {
			retry.Sleep(ctx, campaignInterval)
			continue
		}
		fence, err := m.campaign(ctx, rep)
		if err != nil {
			m.Log.Info("campaign failed", "group", rep.Group, "error", err)
			retry.Sleep(ctx, campaignBackoff)
			continue
		}
		m.leading.Store(true)
		m.lead(ctx, rep, fence)
		m.leading.Store(false)
	}
}

// loadKnownLeader reads the current leader from the store once, as soon as the group is known, if this
// rank is one of the firstRanks. That leader gets no newLeaderGrace: if it is alive, it is heard within
// the first leaderTimeout.
func (m *Member) loadKnownLeader(ctx context.Context) {
	for ctx.Err() == nil {
		rep, known := m.Agent.Report()
		if !known || rep.Group == "" {
			retry.Sleep(ctx, campaignInterval)
			continue
		}
		if rep.Rank >= firstRanks {
			return
		}
		v, err := m.Store.Get(ctx, m.key(rep))
		if err != nil {
			m.Log.Info("cannot read the current leader from the store", "group", rep.Group, "error", err)
			return
		}
		m.knownFence = leaderFence(v)
		return
	}
}

func (m *Member) key(rep Report) string {
	return m.Prefix + m.Service + "/" + rep.Group
}

// campaignDue returns the rank's newest report and reports whether the rank should campaign now.
func (m *Member) campaignDue() (Report, bool) {
	a := m.Agent
	a.mu.Lock()
	defer a.mu.Unlock()
	rep := a.report
	if !a.known || rep.Group == "" || rep.Size == 0 {
		return rep, false
	}
	return rep, a.Clock.Since(a.leaderSeenAt) > leaderTimeout+time.Duration(rep.Rank)*campaignStagger
}

// noteNewLeader reports whether a leader that this rank did not know has been elected, and if so
// grants it newLeaderGrace to be heard.
func (m *Member) noteNewLeader(fence int64) bool {
	a := m.Agent
	a.mu.Lock()
	defer a.mu.Unlock()
	// A restored store may name a leader that this rank knows to be replaced.
	if fence <= a.fence || fence == m.knownFence {
		return false
	}
	m.knownFence = fence
	a.leaderSeenAt = a.Clock.Now().Add(newLeaderGrace - leaderTimeout)
	return true
}

// RecentLeaderError means that a leader was elected so recently that it may not have been heard
// yet.
type RecentLeaderError struct {
	Fence int64
}

// Error returns the message with the leader's fence.
func (e *RecentLeaderError) Error() string {
	return fmt.Sprintf("leader with fence %d was elected recently and may not have been heard yet", e.Fence)
}

// campaign tries to win the election and returns the fence of the new leader.
func (m *Member) campaign(ctx context.Context, rep Report) (int64, error) {
	key := m.key(rep)
	current, err := m.Store.Get(ctx, key)
	if err != nil {
		return 0, err
	}
	if known := leaderFence(current); m.noteNewLeader(known) {
		return 0, &RecentLeaderError{Fence: known}
	}
	own := leaderRecord{
		Leader: m.Own.ID,
		Fence:  nextFence(current),
	}
	data, err := json.Marshal(own)
	if err != nil {
		return 0, errs.Wrap(err)
	}
	won, err := m.Store.Swap(ctx, key, data, current.Modified, 0)
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		// Another rank was faster and its heartbeat will follow.
		m.Agent.mu.Lock()
		m.Agent.leaderSeenAt = m.Agent.Clock.Now()
		m.Agent.mu.Unlock()
	}
	if err == nil && won.Era != current.Era {
		return 0, &store.RestoredError{
			Known: current.Modified,
			Era:   won.Era,
		}
	}
	return own.Fence, err
}
