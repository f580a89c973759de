package group

import (
	"context"
	"errors"
	"fmt"
	"time"

	"geraniumpass/retry"
	"geraniumpass/store"
)

const (
	// silence is how long no leader must have been heard before a rank tries to lead; a leader speaks every heartbeatInterval.
	silence = 700 * time.Millisecond
	// newLeaderGrace is how long a leader that this rank did not know of is waited for: one that lives tries unknown ranks every dialEvery.
	newLeaderGrace = 2 * dialEvery
	// perRank is how much later each further rank tries, so that they don't all.
	perRank = 100 * time.Millisecond
	// campaignEvery is how often the silence is looked at.
	campaignEvery = 100 * time.Millisecond
	// campaignBackoff follows a try that failed.
	campaignBackoff = time.Second
)

// Elect waits until no leader is heard, takes the lead by a compare-and-swap whose revision is the fence, and leads, until ctx ends.
// There is no lease: a leader shows that it lives by what it sends, and one that was replaced is refused by the guards.
func (m *Member) Elect(ctx context.Context) {
	m.meet(ctx)
	for ctx.Err() == nil {
		rep, due := m.due()
		if !due {
			retry.Pause(ctx, campaignEvery)
			continue
		}
		fence, err := m.campaign(ctx, rep)
		if err != nil {
			m.Log.Info("not elected", "group", rep.Group, "error", err)
			retry.Pause(ctx, campaignBackoff)
			continue
		}
		m.lead(ctx, rep, fence)
	}
}

// meet asks the store once, as soon as the group is known, who leads: a leader that lives is heard within the first silence.
func (m *Member) meet(ctx context.Context) {
	for ctx.Err() == nil {
		rep, known := m.Agent.Report()
		if !known || rep.Group == "" {
			retry.Pause(ctx, campaignEvery)
			continue
		}
		v, err := m.Store.Get(ctx, m.key(rep))
		if err != nil {
			m.Log.Info("leader not known from the store", "group", rep.Group, "error", err)
			return
		}
		m.met = v.Modified
		return
	}
}

func (m *Member) key(rep Report) string {
	return m.Prefix + m.Service + "/" + rep.Group
}

// due returns true when this rank's turn to lead has come.
func (m *Member) due() (Report, bool) {
	a := m.Agent
	a.mu.Lock()
	defer a.mu.Unlock()
	rep := a.report
	if !a.known || rep.Group == "" || rep.Size == 0 {
		return rep, false
	}
	return rep, a.Clock.Since(a.heard) > silence+time.Duration(rep.Rank)*perRank
}

// news returns true, and gives it a while to be heard, when a leader has been elected that this rank did not know of.
func (m *Member) news(fence int64) bool {
	a := m.Agent
	a.mu.Lock()
	defer a.mu.Unlock()
	if fence == 0 || fence == a.fence || fence == m.met {
		return false
	}
	m.met = fence
	a.heard = a.Clock.Now().Add(newLeaderGrace - silence)
	return true
}

// EarlyError says that a leader was elected lately who may not have had the time to be heard.
type EarlyError struct {
	Fence int64
}

// Error names the leader's fence.
func (e *EarlyError) Error() string {
	return fmt.Sprintf("leader %d is new", e.Fence)
}

// campaign returns the fence of a won lead.
func (m *Member) campaign(ctx context.Context, rep Report) (int64, error) {
	key := m.key(rep)
	have, err := m.Store.Get(ctx, key)
	if err != nil {
		return 0, err
	}
	if m.news(have.Modified) {
		return 0, &EarlyError{Fence: have.Modified}
	}
	won, err := m.Store.Swap(ctx, key, []byte(m.Own.ID), have.Modified, 0)
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		// Somebody else was faster and will be heard.
		m.Agent.mu.Lock()
		m.Agent.heard = m.Agent.Clock.Now()
		m.Agent.mu.Unlock()
	}
	return won.Modified, err
}
