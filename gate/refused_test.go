package gate_test

import (
	"context"
	"testing"
	"time"

	"geraniumpass/gate"
)

// TestRefusalsCountUnlessTheyAskForRest guards against refusals that count as less than refusals, so that an
// instance that refuses everything keeps its share, and against refusals with a time to rest that bar an
// instance for longer than it asked for.
func TestRefusalsCountUnlessTheyAskForRest(t *testing.T) {
	tests := []struct {
		name       string
		retryAfter string
		counts     bool
	}{
		{name: "refused", counts: true},
		{name: "refused with a time to rest", retryAfter: "0.3"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newRelocationSite(t, 50)
			for _, srv := range s.servers {
				srv.RefuseNext(tt.retryAfter, 1)
			}
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			defer cancel()
			if got := s.request(ctx, "/flow/x"); got != "503 Service Unavailable\n" {
				t.Errorf("the caller got %q", got)
			}
			for i, in := range s.list {
				got := s.gate.FailureScore(in.Start())
				// The score halves within three seconds.
				if tt.counts && (got <= gate.RefusedWeight/2 || got > gate.RefusedWeight) || !tt.counts && got != 0 {
					t.Errorf("server %d has a failure score of %.2f", i, got)
				}
			}
		})
	}
}
