package gate

import (
	"bytes"
	"errors"
	"expvar"
	"io"
	"net/http"
	"time"

	"geraniumpass/pool"
)

const (
	// maxHeadBytes limits the head of an answer together with the interim answers before it. Usual
	// servers and proxies send and accept less.
	maxHeadBytes = 64 << 10
	// maxStrayBytes limits the body of an answer to another request, which is skipped.
	maxStrayBytes = 256 << 10
	// maxStrayAnswers limits how many answers to other requests are skipped on a connection.
	maxStrayAnswers = 2
)

// headEnd is the end of a head (RFC 9112, section 2.1).
var headEnd = []byte("\r\n\r\n")

// answersOverLimit counts the answers that were given up because they exceeded a limit, by the part that
// did.
var answersOverLimit = expvar.NewMap("answers_over_limit")

// malformedAnswers counts the answers that were given up because their head was malformed.
var malformedAnswers = expvar.NewInt("malformed_answers")

// awaitHead waits for the answer that belongs to this attempt and returns its head. It skips interim
// answers and answers to other requests, which don't end the wait of awaitFirstByte.
func (a *attempt) awaitHead(sent time.Time) (*http.Response, error) {
	a.conn.LimitReads(maxHeadBytes)
	defer a.conn.UnlimitReads()
	for strays := 0; ; {
		if err := a.awaitFirstByte(sent); err != nil {
			return nil, err
		}
		if a.r.firstByteAt.IsZero() {
			a.r.firstByteAt = a.r.g.clock.Now()
		}
		resp, err := a.readHead()
		if err != nil {
			return nil, err
		}
		if resp.StatusCode < http.StatusOK {
			if err := a.checkSilence(sent); err != nil {
				return nil, err
			}
			continue
		}
		a.reply = a.r.g.dialect.Reply(resp.StatusCode, resp.Header)
		if a.reply.ID == a.r.call.ID || a.reply.ID == "" && !a.conn.Reused {
			return resp, nil
		}
		a.r.g.log.Warn("received an answer to another request", "id", a.r.call.ID, "instance", a.instance.ID, "answers", a.reply.ID, "status", resp.StatusCode)
		if strays++; strays > maxStrayAnswers || !isFramed(resp) {
			return nil, &MismatchedAnswerError{ID: a.reply.ID}
		}
		if err := a.skipBody(resp); err != nil {
			return nil, err
		}
	}
}

// checkSilence returns a *SilenceTimeoutError if the request leaves an instance that has sent only interim
// answers since it was sent.
func (a *attempt) checkSilence(sent time.Time) error {
	now := a.r.g.clock.Now()
	if timeout := a.silenceTimeout(); timeout > 0 && now.Sub(sent) > timeout && a.failsOver(now) {
		return &SilenceTimeoutError{Duration: now.Sub(sent)}
	}
	return nil
}

// readHead reads one head. A repeatable request leaves an instance that takes longer to send a head than
// it may stay silent, if there is another one.
func (a *attempt) readHead() (*http.Response, error) {
	if !a.isHeadBuffered() && a.r.hasAlternative() {
		if timeout := a.silenceTimeout(); timeout > 0 {
			_ = a.conn.SetDeadline(earlier(a.r.nextDeadline(), a.r.g.clock.Now().Add(timeout)))
		}
	}
	resp, err := a.conn.ReadHead(a.r.req)
	if err != nil {
		return nil, a.recordOverLimit("head", err)
	}
	return resp, a.conn.SetDeadline(a.r.nextDeadline())
}

// isHeadBuffered reports whether a whole head has been received.
func (a *attempt) isHeadBuffered() bool {
	received, err := a.conn.Reader.Peek(a.conn.Reader.Buffered())
	return err == nil && bytes.Contains(received, headEnd)
}

// skipBody reads the body of an answer to another request.
func (a *attempt) skipBody(resp *http.Response) error {
	a.conn.LimitReads(maxStrayBytes)
	defer a.conn.LimitReads(maxHeadBytes)
	_, err := io.Copy(io.Discard, resp.Body)
	return a.recordOverLimit("stray", err)
}

// recordOverLimit logs and counts err if it reports that a part of an answer exceeded its limit, and
// returns it.
func (a *attempt) recordOverLimit(part string, err error) error {
	var limit *pool.ReadLimitError
	if errors.As(err, &limit) {
		answersOverLimit.Add(part, 1)
		a.r.g.log.Warn("answer exceeds a limit", "id", a.r.call.ID, "instance", a.instance.ID, "born", a.instance.StartedAt, "part", part)
	}
	return err
}

// isFramed reports whether the end of an answer's body is known before its connection ends.
func isFramed(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}
