package gate_test

import (
	"context"
	"expvar"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"geraniumpass/core"
	"geraniumpass/gate"
	"geraniumpass/loads"
	"geraniumpass/meter"
	"geraniumpass/plan"
	"geraniumpass/platform"
	"geraniumpass/platform/emul"
	"geraniumpass/retry"
	"geraniumpass/view"
)

// relocationSite is a gate in front of two groups of one rank each, whose statuses the test sets.
type relocationSite struct {
	t       *testing.T
	servers []*emul.Server
	list    []core.Instance
	board   *loads.Board
	gate    *gate.Gate
	front   *httptest.Server
}

// newRelocationSite returns a site whose gate may spend the given number of retries.
func newRelocationSite(t *testing.T, retries float64) *relocationSite {
	t.Helper()
	clock, log := clockwork.NewRealClock(), hclog.NewNullLogger()
	s := &relocationSite{
		t:     t,
		board: loads.NewBoard(clock),
	}
	for _, id := range []string{"a", "b"} {
		srv, err := emul.NewServer(id)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(srv.Close)
		s.servers = append(s.servers, srv)
		s.list = append(s.list, core.Instance{
			ID:      id,
			Service: "svc",
			Address: srv.Address(),
			Slots:   4,
		})
	}
	shares := []plan.Share{{Service: "svc", Weight: 1}}
	table := (&plan.Table{
		Version: 1,
		Routes: []plan.Route{
			{Name: "once", Host: "h.example", Prefix: "/once/", Kind: plan.KindOnce, Timeout: time.Second, Aim: 100 * time.Millisecond, Attempts: 2, Shares: shares},
			{Name: "pour", Host: "h.example", Prefix: "/pour/", Kind: plan.KindStream, Timeout: time.Second, Aim: 100 * time.Millisecond, Gap: 100 * time.Millisecond, Attempts: 2, Shares: shares},
			{Name: "flow", Host: "h.example", Prefix: "/flow/", Kind: plan.KindStream, Resume: true, Timeout: 5 * time.Second, Aim: 800 * time.Millisecond, Gap: 100 * time.Millisecond, Attempts: 2, Shares: shares},
		},
		Services: []plan.Service{{Name: "svc", MaxConnections: 100}},
		Limits:   plan.Limits{BodyBytes: 1 << 10},
	}).Compile()
	cache := view.NewCache("front-1", clock, log)
	cache.Apply(view.Change{Rev: 1, Full: true, Table: table, Put: s.list, Members: map[string]string{"front-1": "x"}})
	g := gate.New(gate.Options{
		Name:      "front-1",
		Allowance: retry.Allowance{Slack: retries, Window: 10 * time.Second},
		Started:   clock.Now().Add(-time.Minute),
		Groups:    s.board,
	}, clock, log, cache, platform.Dialect{}, meter.New(clock))
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		g.RunRelocation(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	s.gate = g
	s.front = httptest.NewServer(g)
	t.Cleanup(s.front.Close)
	return s
}

// start sends a request and returns the index of the server that got it. The answer is written to the
// returned channel.
func (s *relocationSite) start(ctx context.Context, path string) (int, <-chan string) {
	s.t.Helper()
	answered := make(chan string, 1)
	go func() { answered <- s.request(ctx, path) }()
	end := time.After(3 * time.Second)
	for {
		begins := []<-chan struct{}{s.servers[0].Began(), s.servers[1].Began()}
		for i, srv := range s.servers {
			if srv.Runs("r-1") > 0 {
				return i, answered
			}
		}
		select {
		case <-begins[0]:
		case <-begins[1]:
		case <-end:
			s.t.Fatal("no server got the request")
			return 0, nil
		}
	}
}

// request sends a request and returns the status and the body of its answer, followed by the error that
// ended it.
func (s *relocationSite) request(ctx context.Context, path string) string {
	req, err := emul.StreamRequest(ctx, strings.TrimPrefix(s.front.URL, "http://"), "h.example", "r-1")
	if err != nil {
		return err.Error()
	}
	req.URL.Path = path
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		body = append(body, err.Error()...)
	}
	return resp.Status + "\n" + string(body)
}

// report posts the statuses of both groups, one of them changed, until ctx is done.
func (s *relocationSite) report(ctx context.Context, own int, change func(own, other *loads.Group)) {
	for ctx.Err() == nil {
		var groups [2]loads.Group
		for i, in := range s.list {
			groups[i] = loads.Group{
				Name:     "group-" + in.ID,
				Open:     true,
				StepTime: 20 * time.Millisecond,
				Ranks:    []loads.Rank{{Start: in.Start(), Pace: 1}},
			}
		}
		groups[own].Ranks[0].Running = 1
		change(&groups[own], &groups[1-own])
		s.board.Update(groups[0])
		s.board.Update(groups[1])
		retry.Sleep(ctx, 50*time.Millisecond)
	}
}

func stall(own, _ *loads.Group) {
	own.StalledFor = 500 * time.Millisecond
}

func slow(own, _ *loads.Group) {
	own.StepTime = 500 * time.Millisecond
	own.Ranks[0].Pace = 12
}

func closeGroup(own, _ *loads.Group) {
	own.Open = false
}

func stallWithoutRoom(own, other *loads.Group) {
	stall(own, other)
	other.Ranks[0].Running = 4
}

// relocationCount returns the number of relocations counted under a name.
func relocationCount(name string) int64 {
	if v, ok := expvar.Get("relocations").(*expvar.Map).Get(name).(*expvar.Int); ok {
		return v.Value()
	}
	return 0
}

// TestRequestsGoOnElsewhere guards against callers that leave because the group of their stream makes
// no step, is slowed by one rank, or is closed, while another group has room. Each gets all events
// once, long before the 2 s after which callers disconnect. The server that they left has not failed
// and must not be barred for it.
func TestRequestsGoOnElsewhere(t *testing.T) {
	tests := []struct {
		name string
		// hangAfter is the number of events after which the server falls silent, zero if it sends
		// none at all.
		hangAfter int64
		change    func(own, other *loads.Group)
		reason    loads.Reason
	}{
		{"stream in a group that stalls", 2, stall, loads.ReasonGroupStalled},
		{"request that waits in a group that stalls", 0, stall, loads.ReasonGroupStalled},
		{"stream at a slow rank", 2, slow, loads.ReasonSlowInstance},
		{"stream in a group that closed", 2, closeGroup, loads.ReasonGroupClosed},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newRelocationSite(t, 50)
			for _, srv := range s.servers {
				if tt.hangAfter == 0 {
					srv.SetMode(emul.ModeHang)
				}
				srv.HangAfter(tt.hangAfter)
			}
			byReason, completed := relocationCount(string(tt.reason)), relocationCount("completed")
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			defer cancel()
			own, answered := s.start(ctx, "/flow/x")
			s.servers[1-own].SetMode(emul.ModeNormal)
			s.servers[1-own].HangAfter(0)
			began := time.Now()
			go s.report(ctx, own, tt.change)
			got := <-answered
			want := "200 OK\n"
			for n := range 5 {
				want += emul.Event("r-1", n)
			}
			if got != want {
				t.Errorf("the caller got %q, want %q", got, want)
			}
			if took := time.Since(began); took > time.Second {
				t.Errorf("the stream went on after %v", took)
			}
			if n := s.servers[own].Runs("r-1"); n != 1 {
				t.Errorf("sent %d times to the first server", n)
			}
			if n := s.gate.FailureScore(s.list[own].Start()); n != 0 {
				t.Errorf("the first server has a failure score of %.1f", n)
			}
			if relocationCount(string(tt.reason)) != byReason+1 || relocationCount("completed") != completed+1 {
				t.Errorf("relocations are %v", expvar.Get("relocations"))
			}
		})
	}
}

// TestStreamStaysWhereItMayNotLeave guards against a full group that gets the streams of a stalled one,
// whose own streams would then be late as well, and against more repeats than the budget allows. The
// stalled group may go on any moment.
func TestStreamStaysWhereItMayNotLeave(t *testing.T) {
	tests := []struct {
		name    string
		retries float64
		change  func(own, other *loads.Group)
	}{
		{"the other group is full", 50, stallWithoutRoom},
		{"no repeat is left", 0, stall},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newRelocationSite(t, tt.retries)
			for _, srv := range s.servers {
				srv.HangAfter(2)
			}
			ctx, cancel := context.WithTimeout(context.Background(), 700*time.Millisecond)
			defer cancel()
			own, answered := s.start(ctx, "/flow/x")
			go s.report(ctx, own, tt.change)
			got := <-answered
			if want := emul.Event("r-1", 0) + emul.Event("r-1", 1) + context.DeadlineExceeded.Error(); !strings.HasSuffix(got, want) {
				t.Errorf("the stream ended before its caller left: %q", got)
			}
			if n := s.servers[1-own].Arrivals(); n != 0 {
				t.Errorf("%d requests at the other group", n)
			}
		})
	}
}

// TestRequestsThatMayRunOnceStay guards against a second run of a request that must not be repeated.
func TestRequestsThatMayRunOnceStay(t *testing.T) {
	for _, path := range []string{"/once/x", "/pour/x"} {
		s := newRelocationSite(t, 50)
		for _, srv := range s.servers {
			srv.SetMode(emul.ModeHang)
		}
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		own, answered := s.start(ctx, path)
		go s.report(ctx, own, stall)
		if got := <-answered; got != "504 Gateway Timeout\n" {
			t.Errorf("%s: the caller got %q", path, got)
		}
		if n := s.servers[0].Arrivals() + s.servers[1].Arrivals(); n != 1 {
			t.Errorf("%s: sent %d times", path, n)
		}
		cancel()
	}
}
