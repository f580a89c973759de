package gate

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

const (
	// readChunkBytes is the size of a read from a stream; an event has some hundred bytes.
	readChunkBytes = 4 << 10
	// maxEventBytes is the size up to which an event is held until it is whole, so that another instance
	// can replace it.
	maxEventBytes = 256 << 10
	// progressDeliveries is the number of deliveries that show that an instance answers a request: one
	// that crashes as it begins may still send the first event.
	progressDeliveries = 2
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
	last, ok := lastEventInOrder(whole, r.stream.lastEvent)
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
	r.stream.lastEvent = last
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

// recordDelivery records that events were forwarded. The second time shows that the instance outlived
// the beginning of the answer.
func (a *attempt) recordDelivery() {
	a.deliveries++
	switch a.deliveries {
	case 1:
		a.r.g.crashes.RecordBegin(a.r.segmentDigests(), a.sentAt)
	case progressDeliveries:
		a.r.g.crashes.RecordProgress(a.r.segmentDigests(), a.sentAt)
	}
}

// isProgressing reports whether the instance went on after it had begun to answer.
func (a *attempt) isProgressing() bool {
	return a.deliveries >= progressDeliveries
}

// recordDelivery records that events were forwarded at now.
func (p *streamProgress) recordDelivery(now time.Time) {
	if !p.lastAt.IsZero() {
		p.maxPause = max(p.maxPause, now.Sub(p.lastAt))
	}
	p.lastAt = now
}

// disconnectReason returns the reason to log: a failover after silence or a stream that broke off.
func disconnectReason(err error) string {
	var silent *SilenceTimeoutError
	if errors.As(err, &silent) {
		return "stream_silent"
	}
	return "stream_cut"
}

// awaitMoreData waits for more data of a stream that has begun. The request fails over from a
// silent instance if its service has begun an answer more than answeringWindow after the wait began:
// a frozen machine doesn't even close its connections, and the caller disconnects from a stream that
// pauses. The ranks of a group pause together, so a slow or paused group causes no failover. A pause
// alone never ends a stream.
func (a *attempt) awaitMoreData(resp *http.Response) error {
	r := a.r
	if !r.stream.started || !r.route.Repeatable() || resp.ContentLength == 0 || a.conn.Reader.Buffered() > 0 {
		return nil
	}
	lastData := r.g.clock.Now()
	silentAt := lastData.Add(r.streamSilenceTimeout())
	for {
		a.departure.startWait(earlier(r.deadline, silentAt))
		_, err := a.conn.Reader.Peek(1)
		reason := a.departure.endWait()
		if err == nil || errors.Is(err, io.EOF) {
			return a.conn.SetDeadline(r.deadline)
		}
		var timeout net.Error
		now := r.g.clock.Now()
		if !errors.As(err, &timeout) || !timeout.Timeout() || !now.Before(r.deadline) {
			// A connection reports a reset only once. A later read would look like the end of the
			// answer.
			return err
		}
		if reason != "" {
			if err := a.tryLeave(reason); err != nil {
				return err
			}
			continue
		}
		if r.g.health.answeredAfter(r.service.Name, lastData) > answeringWindow && r.canFailOver() {
			return &SilenceTimeoutError{Duration: now.Sub(lastData)}
		}
		silentAt = now.Add(silencePollInterval)
	}
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

// isBrokenOff reports whether a stream whose answer has ended was not complete. hasRemainder is set if
// bytes follow the last whole event; those of another run than the first one don't belong to the stream.
func (p *streamProgress) isBrokenOff(framed, resumed, hasRemainder bool) bool {
	isNumbered := p.started && p.lastEvent >= 0 && !p.hasUnnumbered
	if hasRemainder {
		return !framed || resumed || isNumbered
	}
	// A connection that closes at once looks like an answer without a length and without events. Only a
	// caller who resumes after the last event gets none.
	return !framed && !p.started && p.lastEvent < 0
}

// deliver writes stream data to the caller, preceded by the headers of the first run.
func (r *request) deliver(resp *http.Response, b []byte) bool {
	if !r.stream.started {
		r.stream.started = true
		copyAnswerHeader(r.w.Header(), resp.Header)
		r.w.WriteHeader(resp.StatusCode)
	}
	if len(b) == 0 {
		return true
	}
	if _, err := r.w.Write(b); err != nil {
		r.reason = "caller_unreachable"
		return false
	}
	if err := http.NewResponseController(r.w).Flush(); err != nil {
		r.reason = "caller_unreachable"
		return false
	}
	return true
}

// lastEventInOrder returns the number of the last event, and false if an event doesn't directly
// follow the one before. last is the number of the event that precedes events, negative if there is
// none.
func lastEventInOrder(events []byte, last int64) (int64, bool) {
	for line := range bytes.SplitSeq(events, lineEnd) {
		v, ok := bytes.CutPrefix(line, idField)
		if !ok {
			continue
		}
		id, err := strconv.ParseInt(string(bytes.TrimSpace(v)), 10, 64)
		if err != nil || last >= 0 && id != last+1 {
			return last, false
		}
		last = id
	}
	return last, true
}

// allNumbered reports whether each event has a number, except for those that only keep the
// connection open.
func allNumbered(events []byte) bool {
	for event := range bytes.SplitSeq(events, eventSeparator) {
		hasData, numbered := false, false
		for line := range bytes.SplitSeq(event, lineEnd) {
			numbered = numbered || bytes.HasPrefix(line, idField)
			hasData = hasData || len(line) > 0 && line[0] != ':' && !bytes.HasPrefix(line, []byte("retry:"))
		}
		if hasData && !numbered {
			return false
		}
	}
	return true
}
