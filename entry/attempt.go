package entry

import (
	"sync"

	"geraniumpass/answer"
	"geraniumpass/proto"
)

const (
	// ackParts and ackBytes are the parts and bytes received between acknowledgements, so few that agents
	// don't wait for them.
	ackParts = proto.WindowParts / 4
	ackBytes = proto.WindowBytes / 4
)

// attempt is one dispatch of a request to one agent.
type attempt struct {
	n          uint64
	peer       *peer
	idempotent bool
	cost       float64
	wake       chan struct{}

	mu      sync.Mutex
	asm     answer.Assembler
	ready   []*proto.Answer
	refused *proto.Refused
	lost    bool
	acked   uint32
	// unackedBytes counts the bytes received since the last acknowledgement.
	unackedBytes int
}

func newAttempt(n uint64, p *peer, d *proto.Dispatch) *attempt {
	return &attempt{
		n:          n,
		peer:       p,
		idempotent: d.Idempotent,
		cost:       d.Cost,
		wake:       make(chan struct{}, 1),
	}
}

func (a *attempt) addPart(p *proto.Answer) {
	a.mu.Lock()
	due := a.asm.Accept(p)
	a.ready = append(a.ready, due...)
	for _, q := range due {
		a.unackedBytes += len(q.Data)
	}
	a.mu.Unlock()
	a.signal()
}

func (a *attempt) refuse(r *proto.Refused) {
	a.mu.Lock()
	a.refused = r
	a.mu.Unlock()
	a.signal()
}

// markLost ends an attempt whose agent is no longer reachable.
func (a *attempt) markLost() {
	a.mu.Lock()
	a.lost = true
	a.mu.Unlock()
	a.signal()
}

func (a *attempt) signal() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// progress holds what an attempt has received since the last collect.
type progress struct {
	parts   []*proto.Answer
	refused *proto.Refused
	lost    bool
	ack     uint32
}

func (a *attempt) collect() progress {
	a.mu.Lock()
	defer a.mu.Unlock()
	p := progress{
		parts:   a.ready,
		refused: a.refused,
		lost:    a.lost,
	}
	a.ready = nil
	if next := a.asm.Next(); next-a.acked >= ackParts || a.unackedBytes >= ackBytes || a.asm.Complete() && next > a.acked {
		a.acked = next
		a.unackedBytes = 0
		p.ack = next
	}
	return p
}

func (a *attempt) next() uint32 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.asm.Next()
}
