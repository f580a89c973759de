package group

import (
	"context"
	"errors"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"geraniumpass/shift"
)

// TestOrderIsAnsweredWhileEngineIsBack guards against an agent that answers an order with a torn time since its
// engine can be read, which the race detector finds.
func TestOrderIsAnsweredWhileEngineIsBack(t *testing.T) {
	l := dialAgent(t, startAgent(t, &steppingGroup{}, 0), "leader")
	a := NewAgent(&stubEngine{}, clockwork.NewRealClock(), hclog.NewNullLogger())
	a.guard.Fence = 2
	done := make(chan struct{})
	go func() {
		defer close(done)
		a.answerOrder(l, 1, shift.Order{Fence: 1, Op: shift.OpAsk}, nil)
	}()
	a.poll(context.Background())
	a.markUnreadable(errors.New("gone"))
	a.poll(context.Background())
	<-done
}
