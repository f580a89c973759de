package entry

import (
	"sync"

	"geraniumpass/answer"
	"geraniumpass/proto"
)

// ackEvery is how many parts are taken before they are acknowledged.
const ackEvery = 32

// attempt is one try of a request at one agent.
type attempt struct {
	n          uint64
	peer       *peer
	idempotent bool
	cost       float64
	wake       chan struct{}

	mu      sync.Mutex
	asm     answer.Assembler
	due     []*proto.Answer
	refused *proto.Refused
	lost    bool
	acked   uint32
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

func (a *attempt) accept(p *proto.Answer) {
	a.mu.Lock()
	a.due = append(a.due, a.asm.Accept(p)...)
	a.mu.Unlock()
	a.signal()
}

func (a *attempt) refuse(r *proto.Refused) {
	a.mu.Lock()
	a.refused = r
	a.mu.Unlock()
	a.signal()
}

// lose ends an attempt whose agent can't be reached any more.
func (a *attempt) lose() {
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

// progress is what has happened to an attempt since it was last asked.
type progress struct {
	parts   []*proto.Answer
	refused *proto.Refused
	lost    bool
	ack     uint32
}

func (a *attempt) take() progress {
	a.mu.Lock()
	defer a.mu.Unlock()
	p := progress{
		parts:   a.due,
		refused: a.refused,
		lost:    a.lost,
	}
	a.due = nil
	if next := a.asm.Next(); next-a.acked >= ackEvery || a.asm.Whole() && next > a.acked {
		a.acked = next
		p.ack = next
	}
	return p
}

func (a *attempt) next() uint32 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.asm.Next()
}
