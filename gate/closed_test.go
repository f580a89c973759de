package gate

import (
	"testing"
	"time"

	"geraniumpass/loads"
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

// restWhereOpen lets all instances of an open group rest.
func restWhereOpen(r *request, s *loads.Status, now time.Time) {
	for i := range s.Ranks {
		if s.Open {
			r.g.cooldowns.record(s.Ranks[i].Start, now, now.Add(time.Second))
		}
	}
}
