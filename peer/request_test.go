package peer

import (
	"context"
	"fmt"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"geraniumpass/plan"
	"geraniumpass/proto"
	"geraniumpass/view"
	"geraniumpass/wire"
)

// memberAt returns the view of the member at a place in the ranking of 99 entries, which know the given
// table.
func memberAt(t *testing.T, place int, table int64) *view.Cache {
	t.Helper()
	const entries = 99
	members := make(map[string]string, entries)
	for i := range entries {
		members[fmt.Sprintf("front-%02d", i)] = "127.0.0.1:1"
	}
	change := view.Change{
		Rev:     5,
		Full:    true,
		Table:   (&plan.Table{Version: table}).Compile(),
		Members: members,
	}
	for name := range members {
		v := view.NewCache(name, clockwork.NewRealClock(), hclog.NewNullLogger())
		v.Apply(change)
		if at := slices.Index(v.Watchers(), name); at == place {
			return v
		}
	}
	t.Fatalf("no member has place %d", place)
	return nil
}

// TestRequestsOfSecondaryPollsLeaveOutTables guards against a table that each entry receives once from each
// of the peers that it polls, and against one that it never receives because the primary poll fails.
func TestRequestsOfSecondaryPollsLeaveOutTables(t *testing.T) {
	const own = 7
	tests := []struct {
		name    string
		primary bool
		// told is the version of the table that the peer's last update told of.
		told int64
		want bool
	}{
		{"secondary", false, 0, true},
		{"secondary, the peer has the same", false, own, true},
		{"secondary, the peer had a newer one that has not come", false, own + 1, false},
		{"primary", true, 0, false},
		{"primary, the peer had a newer one", true, own + 1, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := &Poller{View: memberAt(t, 0, own)}
			q := p.request(&proto.Update{TableVersion: tt.told}, tt.primary)
			if q.OmitTable != tt.want || q.Table != own {
				t.Errorf("table left out: %v, known %d", q.OmitTable, q.Table)
			}
		})
	}
}

// TestPollsOfFollowersAreHeldShorter guards against entries that depend on others for changes and are
// confirmed too late, so that each of them calls the store by itself, and against watchers that poll more
// often than they need. The load is 99 entries, of which six watch.
func TestPollsOfFollowersAreHeldShorter(t *testing.T) {
	// longest is a sixth of the 2 s in which changes must be in force: a change passes a watcher and a
	// relay, and both links have their delays.
	const longest = 2 * time.Second / 6
	tests := []struct {
		name  string
		place int
		least time.Duration
		most  time.Duration
	}{
		{"watcher", 0, pollWait, pollWait},
		{"follower", -1, 0, longest},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := &Poller{View: memberAt(t, tt.place, 1)}
			got := time.Duration(p.request(&proto.Update{}, true).WaitMs) * time.Millisecond
			if got < tt.least || got > tt.most {
				t.Errorf("held for %s, want %s to %s", got, tt.least, tt.most)
			}
		})
	}
}

// TestSilentPeerIsNoWatcher guards against an entry that goes on polling a watcher that doesn't answer, and
// so hears of changes late or not at all.
func TestSilentPeerIsNoWatcher(t *testing.T) {
	silent, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = silent.Close() }()
	v := view.NewCache("a", clockwork.NewRealClock(), hclog.NewNullLogger())
	v.Apply(view.Change{Rev: 5, Full: true, Members: map[string]string{"a": "x", "b": silent.Addr().String()}})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	p := &Poller{
		Self: wire.Identity{ID: "a"},
		Key:  []byte(testKey),
		View: v,
		Log:  hclog.NewNullLogger(),
	}
	go p.loop(ctx, newSelection("a", nil, v), true)
	waitFor(t, "the peer to count as unreachable", func() bool { return !slices.Contains(v.Watchers(), "b") })
}
