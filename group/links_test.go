package group

import (
	"context"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"geraniumpass/core"
	"geraniumpass/shift"
	"geraniumpass/view"
	"geraniumpass/wire"
)

// emptySource lists no instance.
type emptySource struct{ view.Source }

func (emptySource) Load(context.Context) (view.Change, error) { return view.Change{}, nil }

// TestRankIsDialedAfterLongConnection guards against a leader that forgets a rank that is cut off because it was
// last listed as the group formed, hours before, and hears of its return only once it is listed anew.
func TestRankIsDialedAfterLongConnection(t *testing.T) {
	clock := clockwork.NewFakeClock()
	l := &wire.Link{}
	d := &leadership{
		m: &Member{
			Agent:  NewAgent(&stubEngine{}, clock, hclog.NewNullLogger()),
			Source: emptySource{},
			Clock:  clock,
		},
		leader:    shift.NewLeader(1, 1),
		loads:     newRankLoads(clock.Now(), 1),
		links:     []*wire.Link{l},
		known:     []bool{true},
		rankOf:    map[*wire.Link]int{l: 0},
		dialed:    map[string]bool{"a": true},
		addresses: map[string]time.Time{"a": clock.Now()},
		instances: map[string]core.Start{"a": {ID: "i-0"}},
	}
	clock.Advance(time.Hour)
	d.handleLinkEnd(event{address: "a", link: l})
	d.listInstances(context.Background())
	if len(d.addresses) != 1 || d.instances["a"].ID != "i-0" {
		t.Errorf("dials %v for %v as soon as the rank is cut off", d.addresses, d.instances)
	}
	clock.Advance(unlistedTTL)
	d.handleLinkEnd(event{address: "a"})
	d.listInstances(context.Background())
	if len(d.addresses)+len(d.instances) != 0 {
		t.Errorf("still dials %v after %s", d.addresses, unlistedTTL)
	}
}
