package feed

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/samber/lo"
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
	// link is the one that began last.
	link atomic.Pointer[wire.Link]
	// changed receives a value when a link has begun or ended.
	changed chan struct{}
}

func (a *standIn) serve(l *wire.Link) {
	a.link.Store(l)
	a.count(1)
	defer a.count(-1)
	_ = l.Receive(func(f *proto.Frame) {
		if f.GroupLoadRequest != nil {
			go a.publish(l)
		}
	})
}

func (a *standIn) count(links int64) {
	a.links.Add(links)
	select {
	case a.changed <- struct{}{}:
	default:
	}
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
	changed := make(chan struct{}, 1)
	for i := range n {
		host := net.IPv4(127, 0, 0, byte(i+1)).String()
		ln, err := net.Listen("tcp4", net.JoinHostPort(host, port))
		if err != nil {
			t.Fatal(err)
		}
		_, port, _ = net.SplitHostPort(ln.Addr().String())
		in := core.Instance{ID: host, Service: "lm", Domain: "a", Address: net.JoinHostPort(host, "1"), StartedAt: 1}
		rows, starts[i] = append(rows, in), in.Start()
		a := &standIn{id: host, starts: starts, changed: changed}
		agents = append(agents, a)
		acceptLinks(t, ln, host, a.serve)
	}
	return agents, rows, port
}

// acceptLinks calls serve with each link to an agent until the test ends.
func acceptLinks(t *testing.T, ln net.Listener, id string, serve func(l *wire.Link)) {
	t.Helper()
	own := wire.Identity{ID: id, Role: wire.RoleAgent, Domain: "a"}
	s := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		_ = wire.Accept(ctx, own, testKey, serve)
	}}
	go func() { _ = s.Serve(ln) }()
	t.Cleanup(func() { _ = ln.Close() })
}

// startFeeder runs a feeder on the given instances until the test ends.
func startFeeder(t *testing.T, rows []core.Instance, port string) *loads.Board {
	t.Helper()
	return startFeederAt(t, clockwork.NewRealClock(), rows, port)
}

func startFeederAt(t *testing.T, clock clockwork.Clock, rows []core.Instance, port string) *loads.Board {
	t.Helper()
	f := newFeeder(clock, rows, port)
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

// newFeeder returns a feeder of an entry that knows the given instances.
func newFeeder(clock clockwork.Clock, rows []core.Instance, port string) *Feeder {
	log := hclog.NewNullLogger()
	cache := view.NewCache("front-1", clock, log)
	table := &plan.Table{Version: 1, Services: []plan.Service{{Name: "lm", Engine: &plan.Engine{Sets: 2}}}}
	cache.Apply(view.Change{Rev: 1, Full: true, Table: table.Compile(), Put: rows})
	return &Feeder{
		Self:   wire.Identity{ID: "front-1", Role: wire.RoleEntry, Domain: "a"},
		Key:    testKey,
		View:   cache,
		Board:  loads.NewBoard(clock),
		Port:   port,
		Domain: "a",
		Clock:  clock,
		Log:    log,
	}
}

func subscribed(agents []*standIn) (out []*standIn) {
	for _, a := range agents {
		if !a.frozen.Load() && a.links.Load() > 0 {
			out = append(out, a)
		}
	}
	return out
}

// within waits until ok, which is asked with each status and each link that begins or ends.
func within(t *testing.T, d time.Duration, what string, board *loads.Board, links <-chan struct{}, ok func() bool) {
	t.Helper()
	end := time.After(d)
	for {
		heard := board.Changed()
		if ok() {
			return
		}
		select {
		case <-heard:
		case <-links:
		case <-end:
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
	within(t, 5*time.Second, "the group is known by two feeds", board, agents[0].changed, func() bool {
		return recent() && len(subscribed(agents)) == feedsPerGroup
	})
	frozen := subscribed(agents)[0]
	// A status is recent for a second, so that nothing recent is known for a moment only if the time
	// runs out.
	<-board.Changed()
	frozen.frozen.Store(true)
	within(t, time.Second, "another agent is subscribed to and the frozen one no longer", board, agents[0].changed, func() bool {
		if !recent() {
			t.Fatal("nothing recent is known of the group")
		}
		return len(subscribed(agents)) == feedsPerGroup && frozen.links.Load() == 0
	})
	if got := board.GroupOf(rows[0].Start()); got != "g" {
		t.Errorf("instance is of group %q", got)
	}
}

// TestEndedFeedIsReplacedAtOnce guards against an entry that replaces an agent that sent nonsense only when it
// next looks through its feeds, which it seldom does. The clock stands still from then on.
func TestEndedFeedIsReplacedAtOnce(t *testing.T) {
	agents, rows, port := startAgents(t, 3)
	clock := clockwork.NewFakeClock()
	board := startFeederAt(t, clock, rows, port)
	if err := clock.BlockUntilContext(t.Context(), 1); err != nil {
		t.Fatal(err)
	}
	clock.Advance(selectInterval)
	within(t, 5*time.Second, "two of three agents are kept", board, agents[0].changed, func() bool {
		isAsked := lo.EveryBy(agents, func(a *standIn) bool { return a.link.Load() != nil })
		return isAsked && len(subscribed(agents)) == feedsPerGroup
	})
	ended := subscribed(agents)[0]
	if err := ended.link.Load().Send(&proto.Frame{GroupLoad: &proto.GroupLoad{}}); err != nil {
		t.Fatal(err)
	}
	within(t, 5*time.Second, "another agent is subscribed to", board, agents[0].changed, func() bool {
		return ended.links.Load() == 0 && len(subscribed(agents)) == feedsPerGroup
	})
}
