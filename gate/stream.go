package gate

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"time"
)

// progressDeliveries is the number of deliveries that show that an instance answers a request: one
// that crashes as it begins may still send the first event.
const progressDeliveries = 2

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
		r.begun.Store(true)
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
