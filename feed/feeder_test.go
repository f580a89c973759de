package feed

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/valyala/fasthttp"

	"geraniumpass/core"
	"geraniumpass/loads"
	"geraniumpass/plan"
	"geraniumpass/proto"
	"geraniumpass/view"
	"geraniumpass/wire"
)

var testKey = []byte("a-link-key-for-tests")

// standIn publishes the load of group g as an agent does, until it is frozen.
type standIn struct {
	id     string
	starts []core.Start
	frozen atomic.Bool
	links  atomic.Int64
}

func (a *standIn) serve(l *wire.Link) {
	a.links.Add(1)
	defer a.links.Add(-1)
	_ = l.Receive(func(f *proto.Frame) {
		if f.GroupLoadRequest != nil {
			go a.publish(l)
		}
	})
}

func (a *standIn) publish(l *wire.Link) {
	g := loads.Group{Name: "g", Epoch: 1, Open: true}
	for _, s := range a.starts {
		g.Ranks = append(g.Ranks, loads.Rank{Start: s})
	}
	for first := true; ; first = false {
		if !a.frozen.Load() && l.Send(&proto.Frame{GroupLoad: loads.Encode(&g, 1, first)}) != nil {
			return
		}
		select {
		case <-l.Done():
			return
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// startAgents starts n agents at addresses of their own and the same port, which it returns.
func startAgents(t *testing.T, n int) (agents []*standIn, rows []core.Instance, port string) {
	t.Helper()
	port = "0"
	starts := make([]core.Start, n)
	for i := range n {
		host := net.IPv4(127, 0, 0, byte(i+1)).String()
		ln, err := net.Listen("tcp4", net.JoinHostPort(host, port))
		if err != nil {
			t.Fatal(err)
		}
		_, port, _ = net.SplitHostPort(ln.Addr().String())
		in := core.Instance{ID: host, Service: "lm", Domain: "a", Address: net.JoinHostPort(host, "1"), StartedAt: 1}
		rows, starts[i] = append(rows, in), in.Start()
		a := &standIn{id: host, starts: starts}
		agents = append(agents, a)
		own := wire.Identity{ID: host, Role: wire.RoleAgent, Domain: "a"}
		s := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
			_ = wire.Accept(ctx, own, testKey, a.serve)
		}}
		go func() { _ = s.Serve(ln) }()
		t.Cleanup(func() { _ = ln.Close() })
	}
	return agents, rows, port
}

// startFeeder runs a feeder on the given instances until the test ends.
func startFeeder(t *testing.T, rows []core.Instance, port string) *loads.Board {
	t.Helper()
	clock, log := clockwork.NewRealClock(), hclog.NewNullLogger()
	cache := view.NewCache("front-1", clock, log)
	table := &plan.Table{Version: 1, Services: []plan.Service{{Name: "lm", Engine: &plan.Engine{Sets: 2}}}}
	cache.Apply(view.Change{Rev: 1, Full: true, Table: table.Compile(), Put: rows})
	f := &Feeder{
		Self:   wire.Identity{ID: "front-1", Role: wire.RoleEntry, Domain: "a"},
		Key:    testKey,
		View:   cache,
		Board:  loads.NewBoard(clock),
		Port:   port,
		Domain: "a",
		Clock:  clock,
		Log:    log,
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return f.Board
}

func subscribed(agents []*standIn) (out []*standIn) {
	for _, a := range agents {
		if !a.frozen.Load() && a.links.Load() > 0 {
			out = append(out, a)
		}
	}
	return out
}

func within(t *testing.T, d time.Duration, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(d); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within %s: %s", d, what)
		}
	}
}

// TestFrozenAgentIsReplaced guards against an entry that keeps the link of a frozen agent, which stays
// open, and so hears of a group by one feed or none.
func TestFrozenAgentIsReplaced(t *testing.T) {
	agents, rows, port := startAgents(t, 4)
	board := startFeeder(t, rows, port)
	recent := func() bool { return len(board.Recent()) == 1 }
	within(t, 5*time.Second, "the group is known by two feeds", func() bool {
		return recent() && len(subscribed(agents)) == feedsPerGroup
	})
	frozen := subscribed(agents)[0]
	frozen.frozen.Store(true)
	within(t, time.Second, "another agent is subscribed to and the frozen one no longer", func() bool {
		if !recent() {
			t.Fatal("nothing recent is known of the group")
		}
		return len(subscribed(agents)) == feedsPerGroup && frozen.links.Load() == 0
	})
	if got := board.GroupOf(rows[0].Start()); got != "g" {
		t.Errorf("instance is of group %q", got)
	}
}
