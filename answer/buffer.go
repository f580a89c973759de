package answer

import "geraniumpass/proto"

// Buffer stores the parts of a running attempt until they are acknowledged; it is not safe for
// concurrent use.
type Buffer struct {
	base   uint32
	parts  []*proto.Answer
	bytes  int
	retain bool
	ended  bool
}

// NewBuffer returns an empty buffer; if retain is set it ignores acknowledgements, for answers
// that may be requested again.
func NewBuffer(retain bool) *Buffer {
	return &Buffer{retain: retain}
}

// Append assigns the next sequence number to a part, stores it and returns it; it returns nil for a
// part after the last.
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

// Ack discards the parts below next, unless the buffer retains all parts.
func (b *Buffer) Ack(next uint32) {
	if b.retain {
		return
	}
	for b.base < next && len(b.parts) > 0 {
		b.bytes -= len(b.parts[0].Data)
		b.parts[0] = nil
		b.parts = b.parts[1:]
		b.base++
	}
}

// From returns the parts starting at next, or false if some of them were discarded.
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

// Bytes returns the payload size of the stored parts in bytes.
func (b *Buffer) Bytes() int {
	return b.bytes
}

// Ended reports whether the last part has been appended.
func (b *Buffer) Ended() bool {
	return b.ended
}

// Empty reports whether the buffer holds no parts.
func (b *Buffer) Empty() bool {
	return len(b.parts) == 0
}
