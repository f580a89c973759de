package group

import (
	"context"
	"runtime"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
)

// TestChangedLoadIsSentAtOnce guards against a change of the condition that waits for the next interval; the
// clock stands still.
func TestChangedLoadIsSentAtOnce(t *testing.T) {
	clock := clockwork.NewFakeClock()
	a := NewAgent(&steppingEngine{group: newSteppingGroup()}, clock, hclog.NewNullLogger())
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	sentAt := func() time.Time {
		a.publisher.mu.Lock()
		defer a.publisher.mu.Unlock()
		return a.publisher.sentAt
	}
	go a.publishUntil(ctx)
	a.poll(ctx)
	for !sentAt().Equal(clock.Now()) {
		if ctx.Err() != nil {
			t.Fatal("no load is sent at the first report")
		}
		runtime.Gosched()
	}
}
