package group

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/valyala/fasthttp"

	"geraniumpass/core"
	"geraniumpass/loads"
	"geraniumpass/proto"
	"geraniumpass/shift"
	"geraniumpass/wire"
)

const publishKey = "a-link-key-for-tests"

// steppingGroup is the engines of a group of two, which make a step every 50 ms until they stall. Only
// rank 0 has requests.
type steppingGroup struct {
	mu        sync.Mutex
	startedAt time.Time
	stalledAt time.Time
	// pace is that of rank 1.
	pace float64
}

func newSteppingGroup() *steppingGroup {
	return &steppingGroup{
		startedAt: time.Now(),
		pace:      normalPace,
	}
}

func (g *steppingGroup) change(fn func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	fn()
}

func (g *steppingGroup) stall() {
	g.change(func() { g.stalledAt = time.Now() })
}

// steppingEngine is the engine of one rank of a steppingGroup.
type steppingEngine struct {
	stubEngine

	group *steppingGroup
	rank  int
}

func (e *steppingEngine) Report(context.Context) (Report, error) {
	g := e.group
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if !g.stalledAt.IsZero() {
		now = g.stalledAt
	}
	rep := Report{
		State: shift.State{Epoch: 1, Open: true, Step: int64(now.Sub(g.startedAt) / (50 * time.Millisecond)), Held: shift.None},
		Group: "g",
		Rank:  e.rank,
		Size:  2,
		Pace:  normalPace,
	}
	if e.rank == 0 {
		rep.Running = 7
	} else {
		rep.Pace = g.pace
	}
	return rep, nil
}

// startAgent starts the agent of a rank and returns its address.
func startAgent(t *testing.T, g *steppingGroup, rank int) string {
	t.Helper()
	a := NewAgent(&steppingEngine{group: g, rank: rank}, clockwork.NewRealClock(), hclog.NewNullLogger())
	ctx, cancel := context.WithCancel(context.Background())
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	links := &fasthttp.Server{Handler: func(c *fasthttp.RequestCtx) {
		// Errors of links that are closed at the end of a test are ignored.
		_ = wire.Accept(c, wire.Identity{ID: "agent", Role: wire.RoleAgent}, []byte(publishKey), a.Serve)
	}}
	go func() { _ = links.Serve(ln) }()
	go a.Run(ctx)
	t.Cleanup(func() {
		cancel()
		_ = ln.Close()
		a.Close()
		_ = links.Shutdown()
	})
	return ln.Addr().String()
}

func dialAgent(t *testing.T, address, role string) *wire.Link {
	t.Helper()
	l, err := wire.Dial(address, wire.Identity{ID: "a-" + role, Role: role}, []byte(publishKey))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	return l
}

// subscribe returns the loads that an agent publishes.
func subscribe(t *testing.T, address string) <-chan loads.Group {
	t.Helper()
	l := dialAgent(t, address, wire.RoleEntry)
	out := make(chan loads.Group, 1000)
	if err := l.Send(&proto.Frame{GroupLoadRequest: &proto.GroupLoadRequest{}}); err != nil {
		t.Fatal(err)
	}
	go func() {
		var d loads.Decoder
		_ = l.Receive(func(f *proto.Frame) {
			if f.GroupLoad == nil {
				return
			}
			g, err := d.Decode(f.GroupLoad)
			if err != nil {
				t.Error(err)
			}
			out <- g
		})
	}()
	return out
}

// waitForLoad returns the time until a load has the property.
func waitForLoad(t *testing.T, heard <-chan loads.Group, what string, has func(g loads.Group) bool) time.Duration {
	t.Helper()
	began := time.Now()
	end := time.After(5 * time.Second)
	for {
		select {
		case g := <-heard:
			if has(g) {
				return time.Since(began)
			}
		case <-end:
			t.Fatalf("heard of no group that %s", what)
		}
	}
}

// startLeader sends heartbeats with the loads of all ranks to an agent until the link is closed.
func startLeader(t *testing.T, address string) *wire.Link {
	t.Helper()
	l := dialAgent(t, address, wire.RoleAgent)
	now := time.Now()
	known := newRankLoads(now, 2)
	known.observe(now, 0, core.Start{ID: "i-0", StartedAt: 1}, &proto.GroupRank{Running: 6})
	known.observe(now, 1, core.Start{ID: "i-1", StartedAt: 1}, &proto.GroupRank{})
	known.update(now, []float64{1, 1}, []float64{1, 1})
	go func() {
		for l.Send(&proto.Frame{RankOrder: &proto.GroupOrder{Fence: 1, Group: "g", Loads: known.message(l)}}) == nil {
			time.Sleep(heartbeatInterval)
		}
	}()
	return l
}

func isStalled(g loads.Group) bool { return g.StalledFor >= stalledAfter }

func hasRanks(g loads.Group) bool { return len(g.Ranks) == 2 }

// TestSubscriberHearsStallWithoutLeader guards against requests sent into a stalled group because the
// machine that led it is what has failed. Callers accept pauses of some 0.1 s and give up a stream after
// a few seconds; half a second leaves the time to move it.
func TestSubscriberHearsStallWithoutLeader(t *testing.T) {
	g := newSteppingGroup()
	address := startAgent(t, g, 0)
	leader := startLeader(t, address)
	heard := subscribe(t, address)
	waitForLoad(t, heard, "steps and has a leader", func(g loads.Group) bool { return g.StepTime > 0 && hasRanks(g) })
	leader.Close()
	waitForLoad(t, heard, "has no leader", func(g loads.Group) bool { return len(g.Ranks) == 0 && !isStalled(g) })
	g.stall()
	if d := waitForLoad(t, heard, "is stalled", isStalled); d > 500*time.Millisecond {
		t.Errorf("heard of the stall after %s", d)
	}
}

// TestIdleRankTellsStallOfOthers guards against an entry that listens to a rank without requests and
// takes the stalled group for an idle one.
func TestIdleRankTellsStallOfOthers(t *testing.T) {
	g := newSteppingGroup()
	address := startAgent(t, g, 1)
	startLeader(t, address)
	heard := subscribe(t, address)
	waitForLoad(t, heard, "steps and has a leader", func(g loads.Group) bool { return g.StepTime > 0 && hasRanks(g) })
	g.stall()
	if d := waitForLoad(t, heard, "is stalled", isStalled); d > 500*time.Millisecond {
		t.Errorf("heard of the stall after %s", d)
	}
}

// TestPublishedLoadHasOwnRankAndStarts guards against loads that entries cannot assign to instances, and
// against a slow rank that is known only once its leader has noticed it.
func TestPublishedLoadHasOwnRankAndStarts(t *testing.T) {
	g := newSteppingGroup()
	address := startAgent(t, g, 1)
	startLeader(t, address)
	heard := subscribe(t, address)
	late := subscribe(t, address)
	for _, h := range []<-chan loads.Group{heard, late} {
		waitForLoad(t, h, "has known ranks", func(g loads.Group) bool {
			return hasRanks(g) && g.Ranks[0].Start.ID == "i-0" && g.Ranks[1].Start.ID == "i-1" && g.Ranks[0].Running == 6
		})
	}
	g.change(func() { g.pace = 12 })
	d := waitForLoad(t, heard, "has a slow rank", func(g loads.Group) bool { return hasRanks(g) && g.Ranks[1].Pace == 12 })
	if d > 500*time.Millisecond {
		t.Errorf("heard of the slow rank after %s", d)
	}
}

// TestSubscriberIsNoLeader guards against an agent that takes an entry for its leader and so delays the
// election of one.
func TestSubscriberIsNoLeader(t *testing.T) {
	address := startAgent(t, newSteppingGroup(), 0)
	l := dialAgent(t, address, wire.RoleEntry)
	states := make(chan *proto.GroupRank, 1000)
	heard := make(chan bool, 1000)
	_ = l.Send(&proto.Frame{GroupLoadRequest: &proto.GroupLoadRequest{}})
	_ = l.Send(&proto.Frame{RankOrder: &proto.GroupOrder{Fence: 1, Group: "g"}})
	go func() {
		_ = l.Receive(func(f *proto.Frame) {
			if f.RankState != nil {
				states <- f.RankState
			}
			heard <- f.GroupLoad != nil
		})
	}()
	for range 5 {
		if !<-heard {
			t.Error("a subscriber got something other than loads")
		}
	}
	if len(states) > 0 {
		t.Error("a subscriber got the state of the rank, as a leader does")
	}
}
