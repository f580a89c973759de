package group

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"geraniumpass/store"
	"geraniumpass/wire"
)

// readStore is a store that tells of its reads.
type readStore struct {
	restorableStore

	reads chan string
}

func newReadStore() *readStore {
	s := &readStore{reads: make(chan string, 10)}
	s.number, s.modified, s.data = 7, 7, []byte(`{"leader":"gone","fence":3}`)
	s.beforeSwap = func() {}
	return s
}

func (s *readStore) Get(ctx context.Context, key string) (store.Value, error) {
	s.reads <- key
	return s.restorableStore.Get(ctx, key)
}

// memberOfRank returns a member that knows its rank in a group of 32, and that has just started.
func memberOfRank(rank int, kv store.Store) *Member {
	m := &Member{
		Agent: NewAgent(&stubEngine{}, clockwork.NewFakeClock(), hclog.NewNullLogger()),
		Store: kv,
		Own:   wire.Identity{ID: fmt.Sprint("side-", rank)},
		Log:   hclog.NewNullLogger(),
	}
	m.Agent.report, m.Agent.known = Report{Group: "g", Rank: rank, Size: 32}, true
	return m
}

// TestFirstRanksKnowTheLeaderOfBefore guards against a group that waits for a leader that is gone: the ranks
// that campaign first have read which one it was, so that they grant it no more time to be heard. It guards
// as well against a store that all ranks of a large group read when they start.
func TestFirstRanksKnowTheLeaderOfBefore(t *testing.T) {
	const (
		ranks = 32
		// readers is the number of reads that a store bears from each group that starts.
		readers = 4
	)
	for rank := range ranks {
		t.Run(fmt.Sprint(rank), func(t *testing.T) {
			kv := newReadStore()
			m := memberOfRank(rank, kv)
			m.loadKnownLeader(context.Background())
			read := len(kv.reads) > 0
			if want := rank < readers; read != want {
				t.Errorf("read the leader: %v, want %v", read, want)
			}
			_, err := m.campaign(context.Background(), m.Agent.report)
			var recent *RecentLeaderError
			if isRecent := errors.As(err, &recent); isRecent == read || !isRecent && err != nil {
				t.Errorf("first campaign: %v", err)
			}
		})
	}
}

// TestLeaderIsReadBeforeItIsMissed guards against a member that reads the leader of before only when it
// campaigns.
func TestLeaderIsReadBeforeItIsMissed(t *testing.T) {
	kv := newReadStore()
	m := memberOfRank(0, kv)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		m.Elect(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	// The clock stands, so that no leader is missed.
	select {
	case <-kv.reads:
	case <-time.After(5 * time.Second):
		t.Error("the leader was not read")
	}
}
