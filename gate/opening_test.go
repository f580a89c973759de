package gate

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"geraniumpass/loads"
	"geraniumpass/outage"
	"geraniumpass/plan"
)

// closeGroups closes all groups, which expect to open as estimated.
func closeGroups(r *request, e outage.Estimate) {
	for _, s := range r.g.groups.Recent() {
		s.Open = false
		s.Opening = e
		r.g.groups.Update(s.Group)
	}
}

// TestLastAttemptWaitsForOpening guards against callers that are refused for good just before a group opens,
// and against requests that are held although nobody knows when it does, its ranks are gone again, or the
// caller has left. The callers were refused two seconds before, and wait 1.5 s for the first event.
func TestLastAttemptWaitsForOpening(t *testing.T) {
	forming := outage.Estimate{Basis: outage.BasisForming, OpensIn: 400 * time.Millisecond}
	open := func(r *request) {
		s := r.g.groups.Recent()["group-2"]
		s.Open = true
		r.g.groups.Update(s.Group)
	}
	tests := []struct {
		name  string
		e     outage.Estimate
		spent time.Duration
		// meanwhile is what happens while the request waits, nil if it must not wait.
		meanwhile func(r *request, leave context.CancelFunc)
		want      bool
	}{
		{"the group opens", forming, 2 * time.Second, func(r *request, _ context.CancelFunc) { open(r) }, true},
		{"ranks are back, the group opens", outage.Estimate{Basis: outage.BasisBack}, 2 * time.Second, func(r *request, _ context.CancelFunc) { open(r) }, true},
		{"a rank is missing again", forming, 2 * time.Second, func(r *request, _ context.CancelFunc) {
			closeGroups(r, outage.Estimate{Basis: outage.BasisMissing, Missing: 1})
		}, false},
		{"nothing is heard of the groups but that they are closed", forming, 2 * time.Second, func(r *request, _ context.CancelFunc) { closeGroups(r, outage.Estimate{}) }, false},
		{"the caller leaves", forming, 2 * time.Second, func(_ *request, leave context.CancelFunc) { leave() }, false},
		{"the first attempt", forming, 0, nil, false},
		{"agents of an older build", outage.Estimate{}, 2 * time.Second, nil, false},
		{"ranks are missing", outage.Estimate{Basis: outage.BasisMissing, Missing: 4, OpensIn: 300 * time.Millisecond}, 2 * time.Second, nil, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := requestAmongGroups()
			clock := r.g.clock.(*clockwork.FakeClock)
			ctx, leave := context.WithTimeout(context.Background(), 30*time.Second)
			defer leave()
			r.ctx, r.spentBefore = ctx, tt.spent
			r.deadline = clock.Now().Add(5 * time.Second)
			r.firstEventDeadline = clock.Now().Add(1500 * time.Millisecond)
			closeGroups(r, tt.e)
			r.closed = true
			served := make(chan bool, 1)
			go func() { served <- r.awaitOpening() }()
			if tt.meanwhile != nil {
				if err := clock.BlockUntilContext(ctx, 1); err != nil {
					t.Fatal(err)
				}
				tt.meanwhile(r, leave)
				clock.Advance(openingCheckInterval)
			}
			if got := advanceUntil(ctx, t, clock, served); got != tt.want {
				t.Errorf("a group has opened: %v, want %v", got, tt.want)
			}
			if r.g.openings.waiting != 0 {
				t.Errorf("%d requests still count as waiting", r.g.openings.waiting)
			}
		})
	}
}

// advanceUntil lets time pass until the channel has a value, and returns it.
func advanceUntil(ctx context.Context, t *testing.T, clock *clockwork.FakeClock, served <-chan bool) bool {
	t.Helper()
	for {
		select {
		case <-ctx.Done():
			return <-served
		case got := <-served:
			return got
		case <-time.After(time.Millisecond):
			clock.Advance(openingCheckInterval)
		}
	}
}

// TestClosedGroupTellsNothingOfUnknownOnes guards against callers that are sent away for the outage of one group
// by an entry that hears nothing of the others, whose instances are only busy.
func TestClosedGroupTellsNothingOfUnknownOnes(t *testing.T) {
	r := requestAmongGroups()
	r.deadline = r.g.clock.Now().Add(8 * time.Second)
	s := r.g.groups.Recent()["group-2"]
	r.g.groups = loads.NewBoard(r.g.clock)
	s.Open = false
	s.Opening = outage.Estimate{Basis: outage.BasisMissing, Missing: 4, OpensIn: 5 * time.Second}
	r.g.groups.Update(s.Group)
	if after := r.retryAfter(0); after > time.Second {
		t.Errorf("told to come back after %s", after)
	}
}

// TestRequestsThatWaitAreBounded guards against an entry whose connections are all held for an opening.
func TestRequestsThatWaitAreBounded(t *testing.T) {
	o := newOpenings()
	for i := range maxWaiting {
		if !o.beginWait() {
			t.Fatalf("%d requests wait, and no other may", i)
		}
	}
	if o.beginWait() {
		t.Errorf("more than %d requests wait", maxWaiting)
	}
	o.endWait()
	if !o.beginWait() {
		t.Error("nobody may wait after one has ended")
	}
}

// TestRefusedIsToldOpening guards against an estimate that no caller is told.
func TestRefusedIsToldOpening(t *testing.T) {
	r := requestAmongGroups()
	r.deadline = r.g.clock.Now().Add(8 * time.Second)
	closeGroups(r, outage.Estimate{Basis: outage.BasisForming, OpensIn: 400 * time.Millisecond})
	r.g.clock.(*clockwork.FakeClock).Advance(100 * time.Millisecond)
	if after := r.retryAfter(0); after != 450*time.Millisecond {
		t.Errorf("told to come back after %s, want 300ms until the opening and 150ms", after)
	}
}

// TestReturnedRequestWaitsOnItsWay guards against requests that are refused where they should wait, and held for
// an opening whose caller has left meanwhile.
func TestReturnedRequestWaitsOnItsWay(t *testing.T) {
	r := requestAmongGroups()
	clock := r.g.clock.(*clockwork.FakeClock)
	limit, stop := context.WithTimeout(context.Background(), 30*time.Second)
	defer stop()
	ctx, leave := context.WithCancel(limit)
	defer leave()
	r.ctx, r.spentBefore, r.deadline = ctx, 2*time.Second, clock.Now().Add(5*time.Second)
	r.route.Attempts, r.hashed = 2, true
	closeGroups(r, outage.Estimate{Basis: outage.BasisForming, OpensIn: 400 * time.Millisecond})
	status := make(chan int, 1)
	w := httptest.NewRecorder()
	r.w = w
	go func() { status <- r.tryUpstreams() }()
	if err := clock.BlockUntilContext(limit, 1); err != nil {
		t.Fatalf("the request doesn't wait: status %d", <-status)
	}
	leave()
	if got := <-status; got != statusCallerGone || w.Code != http.StatusOK {
		t.Errorf("status %d, and %d was written", got, w.Code)
	}
}

// TestWaitEndsWithoutHope guards against requests that are held though the opening is overdue for them, and
// against a second wait of a request that has waited, or one while no group is known to be closed.
func TestWaitEndsWithoutHope(t *testing.T) {
	late := outage.Estimate{Basis: outage.BasisForming, OpensIn: 900 * time.Millisecond}
	r := requestAmongGroups()
	r.ctx, r.spentBefore, r.deadline = context.Background(), 2*time.Second, r.g.clock.Now().Add(5*time.Second)
	closeGroups(r, late)
	if r.waitUntilOpen(r.g.clock.Now().Add(800 * time.Millisecond)) {
		t.Error("waited for an opening that comes too late")
	}
	if r.awaitOpening() {
		t.Error("waited although not all instances are known to be closed")
	}
	r.closed, r.outage.Wait = true, time.Second
	if r.awaitOpening() {
		t.Error("waited twice")
	}
}

// TestRequestHasOneTurn guards against requests that count twice among those that are due at an opening, once as
// they wait and once as they are refused.
func TestRequestHasOneTurn(t *testing.T) {
	r := requestAmongGroups()
	r.ctx, r.deadline, r.closed = context.Background(), r.g.clock.Now().Add(8*time.Second), true
	r.service.Engine = &plan.Engine{StepMs: 1_000}
	closeGroups(r, outage.Estimate{Basis: outage.BasisBack})
	if r.awaitOpening() {
		t.Fatal("the first attempt waits")
	}
	turn := r.turn
	if r.retryAfter(0); turn == 0 || r.turn != turn {
		t.Errorf("the turn is %s, then %s", turn, r.turn)
	}
}

// TestOpeningOfGroups guards against callers that are told the absence of one group while another forms, or the
// later of two openings, and against requests that are held where nothing is known.
func TestOpeningOfGroups(t *testing.T) {
	status := func(basis outage.Basis, opensIn time.Duration) loads.Status {
		return loads.Status{Group: loads.Group{
			Ranks:   make([]loads.Rank, 4),
			Opening: outage.Estimate{Basis: basis, OpensIn: opensIn},
		}}
	}
	missing := status(outage.BasisMissing, 100*time.Millisecond)
	forming, later := status(outage.BasisForming, 300*time.Millisecond), status(outage.BasisForming, 500*time.Millisecond)
	tests := []struct {
		name   string
		groups map[string]loads.Status
		want   opening
	}{
		{"nothing known", nil, opening{isOpen: true}},
		{"one forms", map[string]loads.Status{"a": missing, "b": forming, "c": missing}, opening{next: forming.Opening, ranks: 4}},
		{"two form", map[string]loads.Status{"a": later, "b": forming, "c": later}, opening{next: forming.Opening, ranks: 12}},
	}
	for _, tt := range tests {
		if got := openingOf(tt.groups); got != tt.want {
			t.Errorf("%s: got %+v, want %+v", tt.name, got, tt.want)
		}
	}
}
