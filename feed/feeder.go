package feed

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"geraniumpass/loads"
	"geraniumpass/view"
	"geraniumpass/wire"
)

const (
	// selectInterval is the interval at which missing subscriptions are made up for.
	selectInterval = 50 * time.Millisecond
	// settledInterval is the interval at which instances and groups are looked through while no
	// subscription is missing. The end of one is acted on at once.
	settledInterval = 250 * time.Millisecond
)

// Feeder subscribes an entry to the group loads of agents.
type Feeder struct {
	Self wire.Identity
	Key  []byte
	View *view.Cache
	// Board receives the statuses of all groups.
	Board *loads.Board
	// Port is the port that the agents of all machines listen on.
	Port string
	// Domain is the failure domain of this entry.
	Domain string
	Clock  clockwork.Clock
	Log    hclog.Logger
}

// Run keeps the subscriptions until ctx ends, and returns when their links are closed.
func (f *Feeder) Run(ctx context.Context) {
	s := newSession(f)
	defer s.close()
	t := f.Clock.NewTimer(selectInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-s.events:
			if !s.handle(e) {
				continue
			}
		case <-t.Chan():
		}
		s.step(ctx)
		t.Reset(s.interval())
	}
}
