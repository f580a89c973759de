package gate

import (
	"errors"
	"expvar"
	"io"
	"net/http"
	"strconv"
)

// largeChunkBytes is the size of a read from an answer that is forwarded as it arrives.
const largeChunkBytes = 32 << 10

// largeAnswers counts the answers that were forwarded as they arrived because of their size.
var largeAnswers = expvar.NewInt("large_answers")

// forwardLarge forwards an answer that is too large to be held. It reads no faster than the caller does.
// The caller's connection is aborted if the answer breaks off.
func (a *attempt) forwardLarge(resp *http.Response, body []byte) (verdict, int) {
	r := a.r
	largeAnswers.Add(1)
	h := r.w.Header()
	copyAnswerHeader(h, resp.Header)
	if resp.ContentLength >= 0 {
		h.Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	r.begun.Store(true)
	r.w.WriteHeader(resp.StatusCode)
	// The deadline of a first event doesn't apply to an answer without events.
	_ = a.conn.SetDeadline(r.deadline)
	chunk := make([]byte, largeChunkBytes)
	var err error
	for {
		if len(body) > 0 {
			if _, err := r.w.Write(body); err != nil {
				r.reason = "caller_unreachable"
				return verdictCallerGone, 0
			}
			a.recordDelivery()
		}
		if err != nil {
			break
		}
		var n int
		n, err = resp.Body.Read(chunk)
		body = chunk[:n]
	}
	if !errors.Is(err, io.EOF) {
		r.reason = "answer_cut"
		a.disconnected = isDisconnect(err)
		r.g.log.Debug("answer broke off", "id", r.call.ID, "instance", a.instance.ID, "status", resp.StatusCode, "error", err)
		return a.orCallerGone(verdictBrokenOff), 0
	}
	a.reuseConn = isFramed(resp) && a.isConnReusable(resp)
	return verdictDone, resp.StatusCode
}
