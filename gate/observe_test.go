package gate

import (
	"context"
	"testing"
	"time"

	"geraniumpass/plan"
)

// TestStatusesAreObservedWithoutRequests guards against an entry with few requests that learns nothing of
// the room of its groups, since it looks at their statuses only when a request comes. The load is one
// group and no request.
func TestStatusesAreObservedWithoutRequests(t *testing.T) {
	s := newCrowdedSite()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.gate.RunRelocation(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	for range 2 {
		forgetRoom(s.gate)
		s.report(130 * time.Millisecond)
		awaitRoom(t, s.gate)
	}
}

// forgetRoom forgets what is known of the room of all services.
func forgetRoom(g *Gate) {
	g.shedders.sweep((&plan.Table{}).Compile())
}

// awaitRoom waits until the gate has observed a status of svc.
func awaitRoom(t *testing.T, g *Gate) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); <-time.After(time.Millisecond) {
		g.shedders.mu.Lock()
		_, ok := g.shedders.byService["svc"]
		g.shedders.mu.Unlock()
		if ok {
			return
		}
	}
	t.Fatal("no status was observed")
}
