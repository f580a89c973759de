package gate

import (
	"slices"
	"testing"
	"time"

	"geraniumpass/core"
	"geraniumpass/loads"
	"geraniumpass/outage"
	"geraniumpass/plan"
	"geraniumpass/view"
)

// TestCallerIsNotSentAwayForAnOutageWhileAGroupIsOpen guards against callers that are told to come back as
// after an outage because one group is closed, while the instances of another take requests again shortly.
func TestCallerIsNotSentAwayForAnOutageWhileAGroupIsOpen(t *testing.T) {
	tests := []struct {
		name string
		open string
		want bool
	}{
		{name: "all groups are closed", want: true},
		{name: "the instances of an open group rest", open: "group-0"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := requestAmongGroups()
			now := r.g.clock.Now()
			for _, s := range r.g.groups.Recent() {
				s.Open = s.Name == tt.open
				r.g.groups.Update(s.Group)
				restWhereOpen(r, &s, now)
			}
			if in, ok := r.pick(); ok {
				t.Fatalf("%s was picked", in.ID)
			}
			if r.closed != tt.want {
				t.Errorf("all instances count as closed: %v, want %v", r.closed, tt.want)
			}
		})
	}
}

// TestUnknownRankDoesNotHideOutage guards against requests that are sent to a closed group because one of its
// ranks is back and not known yet, and against callers that are refused while a whole group is unknown.
func TestUnknownRankDoesNotHideOutage(t *testing.T) {
	closed := condition{known: true, size: 4}
	open := condition{known: true, size: 4, open: true}
	large := condition{known: true, group: "large", size: 16}
	var unknown condition
	tests := []struct {
		name       string
		conditions []condition
		want       bool
	}{
		{"all closed", []condition{closed, closed, closed, closed}, true},
		{"one rank unknown", []condition{closed, closed, closed, unknown}, true},
		{"a group unknown", []condition{closed, closed, closed, closed, unknown, unknown, unknown, unknown}, false},
		{"a group open", []condition{closed, closed, unknown, open}, false},
		{"nothing known", []condition{unknown}, false},
		{"closed, ranks never told", []condition{{known: true}, {known: true}}, true},
		{"closed, ranks never told, one unknown", []condition{{known: true}, unknown}, false},
		{"no instance", nil, false},
		{"a smaller group unknown beside a complete one", append(slices.Repeat([]condition{large}, 16), slices.Repeat([]condition{unknown}, 4)...), false},
		{"an instance without a group beside a complete one", append(slices.Repeat([]condition{large}, 16), unknown), false},
		{"four of sixteen ranks unknown", append(slices.Repeat([]condition{large}, 12), slices.Repeat([]condition{unknown}, 4)...), true},
		{"holes of one group, another complete", append(slices.Repeat([]condition{large}, 15), closed, closed, closed, closed, unknown), true},
	}
	for _, tt := range tests {
		if got := areAllClosed(tt.conditions); got != tt.want {
			t.Errorf("%s: all closed: %v, want %v", tt.name, got, tt.want)
		}
	}
}

// TestBlockedRanksAreNoUnknownOnes guards against callers that are refused as if all groups were closed although
// an instance may serve them whose group is unknown, because as many ranks of a closed group are blocked.
func TestBlockedRanksAreNoUnknownOnes(t *testing.T) {
	r := requestAmongGroups()
	now := r.g.clock.Now()
	closeGroups(r, outage.Estimate{})
	for _, s := range r.g.groups.Recent() {
		r.g.cooldowns.record(s.Ranks[0].Start, now, now.Add(time.Second))
	}
	r.g.view.Apply(view.Change{
		Rev: 2,
		Put: []core.Instance{{
			ID:        "unknown",
			Service:   "svc",
			Domain:    "a",
			Address:   "10.9.9.9:1",
			StartedAt: 1,
			Slots:     10,
		}},
	})
	if _, ok := r.pick(); !ok || r.closed {
		t.Errorf("picked an instance: %v, all closed: %v", ok, r.closed)
	}
}

// restWhereOpen lets all instances of an open group rest.
func restWhereOpen(r *request, s *loads.Status, now time.Time) {
	for i := range s.Ranks {
		if s.Open {
			r.g.cooldowns.record(s.Ranks[i].Start, now, now.Add(time.Second))
		}
	}
}

// TestCallerRefusedAsGroupsCloseReturnsAfterOutage guards against callers that an instance refuses while its
// group is about to close, and that come back within a few hundred milliseconds only to be refused for good.
// Callers have eight seconds, and honor a third of them.
func TestCallerRefusedAsGroupsCloseReturnsAfterOutage(t *testing.T) {
	tests := []struct {
		name    string
		stalled time.Duration
		open    bool
		others  bool
		least   time.Duration
	}{
		{name: "closed since the request was sent", least: 2 * time.Second},
		{name: "stalled, not seen to be closed yet", stalled: 1400 * time.Millisecond, open: true, least: 2 * time.Second},
		{name: "stalled for a moment", stalled: 400 * time.Millisecond, open: true},
		{name: "another group is open", others: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := requestAmongGroups()
			r.deadline = r.g.clock.Now().Add(8 * time.Second)
			for name, s := range r.g.groups.Recent() {
				if tt.others && name == "group-3" {
					continue
				}
				s.Open, s.StalledFor = tt.open, tt.stalled
				r.g.groups.Update(s.Group)
			}
			after := r.retryAfter(0)
			if after < tt.least || tt.least == 0 && after > time.Second {
				t.Errorf("told to come back after %s, want at least %s", after, tt.least)
			}
		})
	}
}

// TestRefusedAtStartReturnsAfterOutage guards against callers that an entry sends back within a few hundred
// milliseconds because it has just started and knows no group, while the instance that refused is closed.
func TestRefusedAtStartReturnsAfterOutage(t *testing.T) {
	tests := []struct {
		name     string
		sends    int
		answered bool
		sets     int
		isOutage bool
	}{
		{"refused, nothing answered yet", 1, false, 12, true},
		{"refused, others are answered", 1, true, 12, false},
		{"not sent", 0, false, 12, false},
		{"instances without groups", 1, false, 0, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := requestAmongGroups()
			r.g.groups = loads.NewBoard(r.g.clock)
			r.deadline = r.g.clock.Now().Add(8 * time.Second)
			r.sends = tt.sends
			r.service.Engine = &plan.Engine{Sets: tt.sets}
			if tt.answered {
				r.g.health.recordAnswer(r.service.Name, r.g.clock.Now())
			}
			if after := r.retryAfter(0); (after >= 2*time.Second) != tt.isOutage {
				t.Errorf("told to come back after %s, as after an outage: want %v", after, tt.isOutage)
			}
		})
	}
}
