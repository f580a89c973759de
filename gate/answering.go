package gate

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"geraniumpass/plan"
	"geraniumpass/pool"
)

const (
	// maxHeldAnswerBytes is the size up to which an answer is held until it is whole, so that a truncated
	// one can be replaced by a retry. Almost all answers are smaller.
	maxHeldAnswerBytes = 256 << 10
	// maxFreeAnswerBytes is the part of an answer that is held without being charged to its caller.
	maxFreeAnswerBytes = 8 << 10
	// maxDiscardedBytes and discardTimeout limit the reading of a body that is not forwarded.
	maxDiscardedBytes = 64 << 10
	discardTimeout    = 100 * time.Millisecond
)

// isStream reports whether the answer is an event stream to be forwarded as it arrives.
func (a *attempt) isStream(resp *http.Response) bool {
	return a.r.route.Kind == plan.KindStream && a.isVerified(resp)
}

// isVerified reports whether the answer is a success signed by the upstream for this attempt and
// has no content encoding.
func (a *attempt) isVerified(resp *http.Response) bool {
	return resp.StatusCode >= 200 && resp.StatusCode < 300 && a.reply.Signed && a.reply.ID == a.r.call.ID &&
		resp.Header.Get("Content-Encoding") == ""
}

// recordVerified records that the instance began a verified answer, and thereby that its service is
// answering.
func (a *attempt) recordVerified() {
	a.verified = true
	a.r.g.health.recordAnswer(a.r.service.Name, a.r.g.clock.Now())
	a.r.g.recordAnswer(a.instance)
}

// recordReply applies the metadata in the instance's answer to a request sent at the given time.
func (a *attempt) recordReply(sent time.Time) {
	g := a.r.g
	if a.reply.Invalid != nil && g.loads.recordInvalid(a.instance.Start(), a.reply.Invalid) {
		g.log.Warn("instance sent invalid answer headers", "instance", a.instance.ID, "born", a.instance.StartedAt, "error", a.reply.Invalid)
	}
	if a.reply.Leaving {
		g.leavingInstances.Record(a.instance.Start(), a.r.call.ID)
	}
	if a.reply.Cooldown > 0 {
		now := g.clock.Now()
		g.cooldowns.record(a.instance.Start(), now, now.Add(a.reply.Cooldown))
		g.log.Info("instance requested a cooldown", "instance", a.instance.ID, "born", a.instance.StartedAt, "id", a.r.call.ID, "ms", a.reply.Cooldown.Milliseconds())
	}
	if !a.reply.LimitInvalid {
		g.quotas.Observe(a.instance.Start(), a.reply.Limit, sent)
	}
}

// handleAnswer decides whether to forward an answer that is no stream of events or to retry.
func (a *attempt) handleAnswer(resp *http.Response) (verdict, int) {
	r := a.r
	switch {
	case a.reply.NotExecuted:
		r.reason = "refused_" + strconv.Itoa(resp.StatusCode)
		if resp.StatusCode == http.StatusMisdirectedRequest {
			r.g.loads.markAddressReused(a.instance.Start())
		}
		_ = a.discardBody(resp)
		return a.orCallerGone(verdictNotExecuted), 0
	case !a.isForwardable(resp):
		r.reason = "unsound_" + strconv.Itoa(resp.StatusCode)
		a.disconnected = isDisconnect(a.discardBody(resp))
		return a.orCallerGone(verdictLost), 0
	case r.stream.started:
		// The caller already has events, so only further events may follow.
		r.reason = "resumed_" + strconv.Itoa(resp.StatusCode)
		a.disconnected = isDisconnect(a.discardBody(resp))
		return a.orCallerGone(verdictLost), 0
	}
	return a.forwardAnswer(resp)
}

// forwardAnswer forwards an answer, whole or, if it is too large to be held, as it arrives. A failure is
// kept for a retry instead.
func (a *attempt) forwardAnswer(resp *http.Response) (verdict, int) {
	r := a.r
	body, whole, err := r.readHeld(resp.Body)
	if err != nil {
		r.reason = "answer_cut"
		a.disconnected = isDisconnect(err)
		r.g.log.Debug("answer is incomplete", "id", r.call.ID, "instance", a.instance.ID, "status", resp.StatusCode, "error", err)
		return a.orCallerGone(verdictLost), 0
	}
	a.reuseConn = whole && a.isConnReusable(resp)
	if a.isVerified(resp) {
		a.recordVerified()
	}
	ans := &answer{
		status: resp.StatusCode,
		header: resp.Header,
		body:   body,
	}
	if resp.StatusCode >= 500 && r.route.Repeatable() && r.sends < r.route.Attempts && (whole || r.canFailOver()) {
		if whole {
			r.failedAnswer = ans
		}
		r.reason = "failed_" + strconv.Itoa(resp.StatusCode)
		return a.orCallerGone(verdictFailed), 0
	}
	if whole {
		return verdictDone, r.sendAnswer(ans)
	}
	return a.forwardLarge(resp, body)
}

// isForwardable reports whether the answer may reach the caller. An unsigned answer can't be trusted, and
// some statuses would tell the caller that the request was not executed although it may have been.
func (a *attempt) isForwardable(resp *http.Response) bool {
	return a.isVerified(resp) || a.reply.Signed && resp.StatusCode >= 300 && !impliesNotExecuted(resp.StatusCode)
}

// discardBody reads a body that nobody gets, so that the connection can be reused. A body that doesn't
// end at once is not worth the wait.
func (a *attempt) discardBody(resp *http.Response) error {
	_ = a.conn.SetDeadline(earlier(a.r.nextDeadline(), a.r.g.clock.Now().Add(discardTimeout)))
	n, err := io.CopyN(io.Discard, resp.Body, maxDiscardedBytes+1)
	if n > maxDiscardedBytes {
		return a.recordOverLimit("discarded", &pool.ReadLimitError{})
	}
	if !errors.Is(err, io.EOF) {
		return err
	}
	a.reuseConn = a.isConnReusable(resp)
	return nil
}

// readHeld reads a body of up to maxHeldAnswerBytes, or the beginning of a larger one, and reports whether
// it is whole. Less is held if the process may hold no more for its callers.
func (r *request) readHeld(from io.Reader) (body []byte, whole bool, err error) {
	var b bytes.Buffer
	for _, limit := range []int64{maxFreeAnswerBytes, maxHeldAnswerBytes} {
		if limit > maxFreeAnswerBytes && !r.conn.Take(limit-maxFreeAnswerBytes) {
			return b.Bytes(), false, nil
		}
		_, err := io.CopyN(&b, from, limit+1-int64(b.Len()))
		if errors.Is(err, io.EOF) {
			return b.Bytes(), true, nil
		}
		if err != nil {
			return b.Bytes(), false, err
		}
	}
	return b.Bytes(), false, nil
}

// impliesNotExecuted reports whether status tells a caller that its request was not executed.
func impliesNotExecuted(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

func (a *attempt) isConnReusable(resp *http.Response) bool {
	return !resp.Close && a.conn.Reader.Buffered() == 0
}
