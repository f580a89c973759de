package gate

import (
	"bytes"
	"errors"
	"io"
	"net/http"
)

const (
	// readChunkBytes is the size of a read from a stream; an event has some hundred bytes.
	readChunkBytes = 4 << 10
	// maxEventBytes is the size up to which an event is held until it is whole, so that another instance
	// can replace it.
	maxEventBytes = 256 << 10
)

// eventSeparator separates events (event stream format of the HTML standard).
var eventSeparator = []byte("\n\n")

// streamCopy is the state of one attempt to forward a stream.
type streamCopy struct {
	a       *attempt
	resp    *http.Response
	resumed bool
	// pending holds the bytes that follow the last whole event, or that are still to be forwarded of an
	// event whose beginning was; the first scanned of them contain no end of an event.
	pending []byte
	scanned int
	// open is the event whose beginning was forwarded, nil if there is none.
	open *openEvent
}

// forwardStream forwards complete events as they arrive, and one that is too large to be held in parts. If
// the stream breaks off, the caller has received it up to the end of an event, or its connection is aborted.
func (a *attempt) forwardStream(resp *http.Response) (verdict, int) {
	s := &streamCopy{
		a:       a,
		resp:    resp,
		resumed: a.r.stream.started,
	}
	a.r.stream.numbering.begins = true
	chunk := make([]byte, readChunkBytes)
	for {
		if err := s.awaitMore(); err != nil {
			var relocation *RelocationError
			if errors.As(err, &relocation) {
				return a.recordLeave(relocation.Reason), 0
			}
			return s.breakOff(disconnectReason(err), err), 0
		}
		n, err := resp.Body.Read(chunk)
		s.pending = append(s.pending, chunk[:n]...)
		if v := s.forwardPending(); v != verdictDone {
			return v, 0
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF):
			return s.finish()
		default:
			return s.breakOff("stream_cut", err), 0
		}
	}
}

// awaitMore waits for more data. Once the beginning of an event was forwarded, no other instance can go on.
func (s *streamCopy) awaitMore() error {
	if s.open != nil {
		return nil
	}
	return s.a.awaitMoreData(s.resp)
}

// breakOff ends an attempt whose stream is not complete.
func (s *streamCopy) breakOff(reason string, err error) verdict {
	s.a.r.reason = reason
	s.a.disconnected = isDisconnect(err)
	return s.a.orCallerGone(s.lost())
}

// lost returns the verdict of an attempt that can't go on.
func (s *streamCopy) lost() verdict {
	if s.open != nil {
		return verdictBrokenOff
	}
	return verdictLost
}

// forwardPending forwards what may be forwarded of the pending bytes. It returns verdictDone if the stream
// goes on.
func (s *streamCopy) forwardPending() verdict {
	if s.open != nil {
		if v := s.forwardOpen(); v != verdictDone || s.open != nil {
			return v
		}
	}
	from := max(0, s.scanned-len(eventSeparator)+1)
	s.scanned = len(s.pending)
	if end := bytes.LastIndex(s.pending[from:], eventSeparator); end >= 0 {
		if v := s.forwardEvents(from + end + len(eventSeparator)); v != verdictDone {
			return v
		}
	}
	if len(s.pending) <= maxEventBytes {
		return verdictDone
	}
	if !s.beginOpen() {
		s.a.r.reason = "event_too_large"
		answersOverLimit.Add("event", 1)
		return s.a.orCallerGone(verdictLost)
	}
	return s.forwardOpen()
}

// forwardEvents forwards the events that end within the first n pending bytes.
func (s *streamCopy) forwardEvents(n int) verdict {
	r := s.a.r
	whole := s.pending[:n]
	next, last, ok := r.stream.numbering.follow(whole, r.stream.lastEvent)
	numbered := allNumbered(whole)
	if !ok || s.resumed && !numbered {
		// Unnumbered events from another run can't be distinguished from bytes that aren't part of the
		// stream.
		r.reason = "event_order"
		return s.a.orCallerGone(verdictLost)
	}
	if !s.deliver(n) {
		return verdictCallerGone
	}
	r.stream.numbering, r.stream.lastEvent = next, last
	r.stream.hasUnnumbered = r.stream.hasUnnumbered || !numbered
	return verdictDone
}

// deliver forwards the first n pending bytes and reports whether the caller could be reached.
func (s *streamCopy) deliver(n int) bool {
	r := s.a.r
	if !r.deliver(s.resp, s.pending[:n]) {
		return false
	}
	s.a.recordDelivery()
	// The deadline of the first event no longer applies.
	_ = s.a.conn.SetDeadline(r.nextDeadline())
	r.stream.recordDelivery(r.g.clock.Now())
	s.pending = append(s.pending[:0], s.pending[n:]...)
	s.scanned = 0
	return true
}

// finish forwards the data after the last event of an answer that has ended.
func (s *streamCopy) finish() (verdict, int) {
	r := s.a.r
	framed := isFramed(s.resp)
	hasRemainder := len(s.pending) > 0 || s.open != nil
	isNumbered := s.open != nil && s.open.numbered
	if isNumbered || r.stream.isBrokenOff(framed, s.resumed, hasRemainder) {
		r.reason = "stream_cut"
		s.a.disconnected = true
		return s.a.orCallerGone(s.lost()), 0
	}
	if !r.deliver(s.resp, s.pending) {
		return verdictCallerGone, 0
	}
	r.recordLength()
	s.a.reuseConn = framed && s.a.isConnReusable(s.resp)
	return verdictDone, s.resp.StatusCode
}
