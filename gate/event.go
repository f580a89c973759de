package gate

import "bytes"

// maxFieldBytes limits the part of a line that is looked at; names and numbers of events are shorter than a
// tenth of it.
const maxFieldBytes = 256

var (
	lineEnd = []byte("\n")
	idField = []byte("id:")
)

// openEvent is an event of which the caller has the beginning. Its bytes are forwarded as they arrive, and
// only the lines with its number are looked at.
type openEvent struct {
	// line holds the beginning of a line that has not ended.
	line     []byte
	numbered bool
}

// beginOpen begins to forward the pending event in parts. It reports false if the bytes are no event, or
// if it isn't known that they continue the stream.
func (s *streamCopy) beginOpen() bool {
	var probe openEvent
	_, _, ok := probe.scan(s.pending, s.a.r.stream.numbering, s.a.r.stream.lastEvent)
	if !ok || !beginsWithField(s.pending) || s.resumed && !probe.numbered {
		return false
	}
	s.open = &openEvent{}
	return true
}

// forwardOpen forwards the pending bytes of the open event and closes it if they contain its end.
func (s *streamCopy) forwardOpen() verdict {
	r := s.a.r
	n, ended := len(s.pending), false
	if end := bytes.Index(s.pending, eventSeparator); end >= 0 {
		n, ended = end+len(eventSeparator), true
	} else if bytes.HasSuffix(s.pending, eventSeparator[:1]) {
		// The next byte may complete a separator.
		n--
	}
	next, last, ok := s.open.scan(s.pending[:n], r.stream.numbering, r.stream.lastEvent)
	if !ok {
		r.reason = "event_order"
		return s.a.orCallerGone(s.lost())
	}
	r.stream.numbering, r.stream.lastEvent = next, last
	if n > 0 && !s.deliver(n) {
		return verdictCallerGone
	}
	if ended {
		r.stream.hasUnnumbered = r.stream.hasUnnumbered || !s.open.numbered
		s.open = nil
	}
	return verdictDone
}

// scan looks for the number of the event in further bytes of it. It returns the numbering and the number of
// the last event, and false if the event doesn't follow the one before.
func (e *openEvent) scan(b []byte, n numbering, last int64) (numbering, int64, bool) {
	for len(b) > 0 {
		part, rest, ended := bytes.Cut(b, lineEnd)
		e.line = append(e.line, part[:min(len(part), maxFieldBytes-len(e.line))]...)
		b = rest
		if !ended {
			break
		}
		if bytes.HasPrefix(e.line, idField) {
			var ok bool
			if n, last, ok = n.follow(e.line, last); !ok {
				return n, last, false
			}
			e.numbered = true
		}
		e.line = e.line[:0]
	}
	return n, last, true
}

// beginsWithField reports whether b begins with the name of a field or with a comment.
func beginsWithField(b []byte) bool {
	line, _, _ := bytes.Cut(bytes.TrimLeft(b, "\n"), lineEnd)
	return bytes.IndexByte(line[:min(len(line), maxFieldBytes)], ':') >= 0
}
