package answer

import (
	"geraniumpass/check"
	"geraniumpass/proto"
)

// Assembler puts the parts of one attempt in order; it is not safe for use by several goroutines.
type Assembler struct {
	next    uint32
	waiting map[uint32]*proto.Answer
	ended   bool
}

// Accept takes a part in any order, any number of times, and returns the parts that are now due, in order.
func (a *Assembler) Accept(p *proto.Answer) []*proto.Answer {
	if a.ended || p.Seq < a.next {
		return nil
	}
	if p.Seq > a.next {
		a.hold(p)
		return nil
	}
	due := []*proto.Answer{p}
	a.advance(p)
	for !a.ended {
		q, ok := a.waiting[a.next]
		if !ok {
			break
		}
		delete(a.waiting, a.next)
		due = append(due, q)
		a.advance(q)
	}
	return due
}

// Next returns the number of the first part that is missing.
func (a *Assembler) Next() uint32 {
	return a.next
}

// Whole returns true when every part up to the last has been handed out.
func (a *Assembler) Whole() bool {
	return a.ended
}

func (a *Assembler) hold(p *proto.Answer) {
	if a.waiting == nil {
		a.waiting = make(map[uint32]*proto.Answer)
	}
	a.waiting[p.Seq] = p
}

func (a *Assembler) advance(p *proto.Answer) {
	check.Hold(check.WholeAnswer, p.Seq == a.next && !a.ended, "part %d handed out where %d is due", p.Seq, a.next)
	a.next++
	a.ended = p.Last
}
