package answer

import (
	"geraniumpass/check"
	"geraniumpass/proto"
)

// Assembler orders the parts of one attempt; it is not safe for concurrent use.
type Assembler struct {
	next     uint32
	pending  map[uint32]*proto.Answer
	complete bool
}

// Accept receives a part in any order, possibly repeated, and returns the parts that are now
// deliverable in sequence.
func (a *Assembler) Accept(p *proto.Answer) []*proto.Answer {
	if a.complete || p.Seq < a.next {
		return nil
	}
	if p.Seq > a.next {
		a.buffer(p)
		return nil
	}
	due := []*proto.Answer{p}
	a.advance(p)
	for !a.complete {
		q, ok := a.pending[a.next]
		if !ok {
			break
		}
		delete(a.pending, a.next)
		due = append(due, q)
		a.advance(q)
	}
	return due
}

// Next returns the sequence number of the first missing part.
func (a *Assembler) Next() uint32 {
	return a.next
}

// Complete reports whether every part including the last has been returned by Accept.
func (a *Assembler) Complete() bool {
	return a.complete
}

func (a *Assembler) buffer(p *proto.Answer) {
	if a.pending == nil {
		a.pending = make(map[uint32]*proto.Answer)
	}
	a.pending[p.Seq] = p
}

func (a *Assembler) advance(p *proto.Answer) {
	check.Assert(check.CompleteAnswer, p.Seq == a.next && !a.complete, "delivered part %d, want part %d", p.Seq, a.next)
	a.next++
	a.complete = p.Last
}
