package answer

import "geraniumpass/proto"

// Buffer keeps the parts of a running attempt until its reader has acknowledged them; it is not safe for use by several goroutines.
type Buffer struct {
	base  uint32
	parts []*proto.Answer
	bytes int
	keep  bool
	ended bool
}

// NewBuffer returns an empty buffer; with keep it holds every part until dropped, for answers that may be asked for again.
func NewBuffer(keep bool) *Buffer {
	return &Buffer{keep: keep}
}

// Append numbers a part, stores it and returns it; a part after the last is dropped and gives nil.
func (b *Buffer) Append(p *proto.Answer) *proto.Answer {
	if b.ended {
		return nil
	}
	p.Seq = b.base + uint32(len(b.parts))
	b.parts = append(b.parts, p)
	b.bytes += len(p.Data)
	b.ended = p.Last
	return p
}

// Ack forgets the parts below next, unless the buffer keeps all.
func (b *Buffer) Ack(next uint32) {
	if b.keep {
		return
	}
	for b.base < next && len(b.parts) > 0 {
		b.bytes -= len(b.parts[0].Data)
		b.parts[0] = nil
		b.parts = b.parts[1:]
		b.base++
	}
}

// From returns the parts from next on, and false when some of them are already forgotten.
func (b *Buffer) From(next uint32) ([]*proto.Answer, bool) {
	if next < b.base {
		return nil, false
	}
	i := int(next - b.base)
	if i >= len(b.parts) {
		return nil, true
	}
	return b.parts[i:], true
}

// Bytes returns the payload bytes held.
func (b *Buffer) Bytes() int {
	return b.bytes
}

// Ended returns true once the last part was appended.
func (b *Buffer) Ended() bool {
	return b.ended
}

// Empty returns true when nothing is held.
func (b *Buffer) Empty() bool {
	return len(b.parts) == 0
}
