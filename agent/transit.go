package agent

import (
	"sync"
	"time"

	"geraniumpass/wire"
)

// transits learns how long messages were on their way. The steady clocks of two processes don't agree, but they go equally fast: the message with
// the least difference between them was hardly on its way, and what another has more it has waited, in a link that was cut or beside a
// process that stood still.
type transits struct {
	mu    sync.Mutex
	begun time.Time
	least map[*wire.Link]time.Duration
}

func newTransits(begun time.Time) *transits {
	return &transits{
		begun: begun,
		least: make(map[*wire.Link]time.Duration),
	}
}

// took returns how much longer than the quickest one of its link a message was on its way that was sent and received at these times; sent is
// zero for a sender that doesn't say.
func (t *transits) took(l *wire.Link, sent time.Duration, received time.Time) time.Duration {
	if sent == 0 {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	between := received.Sub(t.begun) - sent
	least, known := t.least[l]
	if !known || between < least {
		least = between
		t.least[l] = least
	}
	return between - least
}

// forget drops what is known of a link that has ended.
func (t *transits) forget(l *wire.Link) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.least, l)
}
