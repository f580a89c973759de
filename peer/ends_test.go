package peer

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/samber/lo"
	"github.com/valyala/fasthttp"

	"geraniumpass/core"
	"geraniumpass/crash"
	"geraniumpass/leave"
	"geraniumpass/plan"
	"geraniumpass/proto"
	"geraniumpass/quota"
	"geraniumpass/view"
	"geraniumpass/wire"
)

// node is what one entry knows, with a server of links before it.
type node struct {
	view    *view.Keeper
	ends    *crash.Registry
	quotas  *quota.Registry
	leaving *leave.Registry
	address string
}

func newNode(t *testing.T, name string) *node {
	t.Helper()
	clock, log := clockwork.NewRealClock(), hclog.NewNullLogger()
	n := &node{
		view:    view.NewKeeper(name, clock, log),
		ends:    crash.New(clock, log),
		quotas:  quota.New(name, clock, log),
		leaving: leave.New(clock, log),
	}
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	n.address = ln.Addr().String()
	server := &Server{
		View:    n.view,
		Ends:    n.ends,
		Quotas:  n.quotas,
		Leaving: n.leaving,
	}
	links := &fasthttp.Server{
		Handler: func(ctx *fasthttp.RequestCtx) {
			_ = wire.Accept(ctx, wire.Identity{ID: name}, []byte(testKey), server.Serve)
		},
	}
	go func() { _ = links.Serve(ln) }()
	t.Cleanup(func() { _ = ln.Close() })
	return n
}

const testKey = "a-link-key-for-tests"

// asks has a node ask another one until the test ends.
func (n *node) asks(t *testing.T, name string, other *node) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go (&Asker{
		Own:     wire.Identity{ID: name},
		Key:     []byte(testKey),
		Seeds:   []string{other.address},
		View:    n.view,
		Ends:    n.ends,
		Quotas:  n.quotas,
		Leaving: n.leaving,
		Log:     hclog.NewNullLogger(),
	}).Run(ctx)
}

func await(t *testing.T, what string, ok func() bool) {
	t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for !ok() {
		if time.Now().After(deadline) {
			t.Fatalf("waited in vain for %s", what)
		}
		<-time.After(time.Millisecond)
	}
}

// TestPeersTellOfEnds has ends be seen by two entries, neither of which reaches the store, and a third that asks both by way of one.
func TestPeersTellOfEnds(t *testing.T) {
	d := crash.NewHasher(nil).Digest(crash.Request{URI: "/fatal"})
	a, b, c := newNode(t, "a"), newNode(t, "b"), newNode(t, "c")
	b.asks(t, "b", a)
	c.asks(t, "c", b)
	a.ends.Ended(d, "acme", core.Start{ID: "i-1"}, true)
	await(t, "the first end to reach c", func() bool {
		known, _ := c.ends.Since(0)
		return len(known) == 1
	})
	b.ends.Ended(d, "acme", core.Start{ID: "i-2"}, true)
	b.ends.Ended(d, "acme", core.Start{ID: "i-3"}, true)
	await(t, "c to refuse", func() bool { return c.ends.Refuses(d) })
	a.ends.Whole(d)
	await(t, "c to learn that one end was cleared", func() bool { return !c.ends.Refuses(d) })
}

// TestEndsTravelWithoutTheLists has a peer know of an end and nothing else that is new: its list of instances is long.
func TestEndsTravelWithoutTheLists(t *testing.T) {
	snap := &view.Snapshot{
		Rev:       7,
		Instances: []core.Instance{{ID: "i-1"}},
		Members:   map[string]string{"a": "x"},
	}
	tests := []struct {
		name  string
		rev   int64
		lists bool
	}{
		{"asker knows the revision", 7, false},
		{"asker knows an earlier one", 6, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			n := lists(snap, &proto.NewsAsk{Rev: tt.rev})
			if got := len(n.Instances) > 0 && len(n.Members) > 0; got != tt.lists || n.Newer != tt.lists {
				t.Errorf("lists sent: %v, newer: %v; want %v", got, n.Newer, tt.lists)
			}
		})
	}
}

// order notes whether a table was known when ends came.
type order struct {
	view  *view.Keeper
	ends  int
	table bool
}

// Merge counts the ends.
func (o *order) Merge(ends []crash.End) {
	o.ends += len(ends)
	o.table = o.table || o.view.Now().Table != nil
}

// TestEndsComeBeforeTheTable has an entry learn its first table from a peer: from then on it sends requests, so that it has to know which not to.
func TestEndsComeBeforeTheTable(t *testing.T) {
	n := newNode(t, "a")
	o := &order{view: n.view}
	a := &Asker{
		View:    n.view,
		Ends:    o,
		Quotas:  n.quotas,
		Leaving: n.leaving,
		Log:     hclog.NewNullLogger(),
	}
	a.take(&proto.News{
		Rev:       7,
		Newer:     true,
		Table:     lo.Must(proto.Marshal(&plan.Table{Version: 1})),
		Instances: lo.Must(proto.Marshal([]core.Instance{})),
		Ends:      []crash.End{{Instance: "i-1"}},
	})
	if o.ends != 1 || o.table || n.view.Now().Table == nil {
		t.Errorf("%d ends, table known before them: %v, table afterwards: %v", o.ends, o.table, n.view.Now().Table)
	}
}
