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
	// readChunk is how much of a stream is read at once, in bytes; an event holds some hundred.
	readChunk = 4 << 10
	// maxEvent bounds what is kept of an event that has not ended yet, in bytes.
	maxEvent = 1 << 20
)

// eventEnd separates events (the event stream format of the HTML standard).
var eventEnd = []byte("\n\n")

// passStream passes whole events on as they come; a run that breaks off leaves the caller at the end of an event.
func (a *attempt) passStream(resp *http.Response) (verdict, int) {
	r := a.r
	resumed := r.stream.begun
	var pending []byte
	chunk := make([]byte, readChunk)
	for {
		if err := a.awaitMore(resp); err != nil {
			r.reason = cutReason(err)
			a.cut = isCut(err)
			return a.gone(verdictLost), 0
		}
		n, err := resp.Body.Read(chunk)
		pending = append(pending, chunk[:n]...)
		if end := bytes.LastIndex(pending, eventEnd); end >= 0 {
			end += len(eventEnd)
			last, ok := lastInOrder(pending[:end], r.stream.last)
			numbered := allNumbered(pending[:end])
			if !ok || resumed && !numbered {
				// What another run sends without a number can't be told from bytes that are none of the stream.
				r.reason = "event_order"
				return a.gone(verdictLost), 0
			}
			if !r.deliver(resp, pending[:end]) {
				return verdictGone, 0
			}
			// What was due for the first event is for the whole stream from here on.
			_ = a.conn.SetDeadline(r.due())
			r.stream.passed(r.g.clock.Now())
			r.stream.last = last
			r.stream.unnumbered = r.stream.unnumbered || !numbered
			pending = append(pending[:0], pending[end:]...)
		}
		if err == nil && len(pending) <= maxEvent {
			continue
		}
		if !errors.Is(err, io.EOF) {
			r.reason = "stream_cut"
			a.cut = isCut(err)
			return a.gone(verdictLost), 0
		}
		return a.endStream(resp, pending, resumed)
	}
}

// passed notes that events have been passed on.
func (d *delivered) passed(now time.Time) {
	if !d.at.IsZero() {
		d.pause = max(d.pause, now.Sub(d.at))
	}
	d.at = now
}

// cutReason tells a stream that was left from one that broke off.
func cutReason(err error) string {
	var silent *SilentError
	if errors.As(err, &silent) {
		return "stream_silent"
	}
	return "stream_cut"
}

// awaitMore waits for more of a stream that has begun. An instance that falls silent is left for another while other instances of its
// service have begun answers since: one whose machine stands still says nothing, not even that it is gone, and the caller leaves a stream
// that pauses. The ranks of a group pause together, so that a slow or held group leaves nobody. A stream is never ended because of a pause.
func (a *attempt) awaitMore(resp *http.Response) error {
	r := a.r
	if !r.stream.begun || !r.route.Repeatable() || resp.ContentLength == 0 || a.conn.Reader.Buffered() > 0 {
		return nil
	}
	heard := r.g.clock.Now()
	patience := r.streamPatience()
	for {
		_ = a.conn.SetDeadline(earlier(r.until, r.g.clock.Now().Add(patience)))
		_, err := a.conn.Reader.Peek(1)
		if err == nil || errors.Is(err, io.EOF) {
			return a.conn.SetDeadline(r.until)
		}
		var timeout net.Error
		now := r.g.clock.Now()
		if !errors.As(err, &timeout) || !timeout.Timeout() || !now.Before(r.until) {
			// A connection tells of a reset only once; after that it would look as if the answer had come to its end.
			return err
		}
		if r.g.pulse.since(r.service.Name, heard) > answeringFor && r.canFailOver() {
			return &SilentError{For: now.Sub(heard)}
		}
		patience = silencePoll
	}
}

// endStream passes on what follows the last event of an answer that came to its end.
func (a *attempt) endStream(resp *http.Response, rest []byte, resumed bool) (verdict, int) {
	r := a.r
	framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	if (!framed || resumed) && len(rest) > 0 {
		// An answer without a length that ends within an event was cut, and what another run sends beside events doesn't belong to it.
		r.reason = "stream_cut"
		a.cut = true
		return a.gone(verdictLost), 0
	}
	if !r.deliver(resp, rest) {
		return verdictGone, 0
	}
	a.finished = framed && a.reusable(resp)
	return verdictDone, resp.StatusCode
}

// deliver writes bytes of a stream to the caller, the first run's headers before the first of them.
func (r *request) deliver(resp *http.Response, b []byte) bool {
	if !r.stream.begun {
		r.stream.begun = true
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

// lastInOrder returns the number of the last of whole events, and false when one does not follow the one before; last is negative before the first.
func lastInOrder(events []byte, last int64) (int64, bool) {
	for _, line := range bytes.Split(events, []byte("\n")) {
		v, ok := bytes.CutPrefix(line, []byte("id:"))
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

// allNumbered returns true when each of whole events has a number, but for those that only keep a connection open.
func allNumbered(events []byte) bool {
	for _, event := range bytes.Split(events, eventEnd) {
		carries, numbered := false, false
		for _, line := range bytes.Split(event, []byte("\n")) {
			numbered = numbered || bytes.HasPrefix(line, []byte("id:"))
			carries = carries || len(line) > 0 && line[0] != ':' && !bytes.HasPrefix(line, []byte("retry:"))
		}
		if carries && !numbered {
			return false
		}
	}
	return true
}
